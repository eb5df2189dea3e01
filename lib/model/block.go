package model

// Block identifies a prompt prefix under given weights, in routing and cache updates.
// With 32 bits, collisions among the 65,536 blocks that an entry keeps are rare, and a
// collision only costs one prefill.
type Block uint32
