package model

// Block identifies the beginning of a prompt under given weights in routing and
// in cache updates. With 32 bits, two of the 65,536 blocks that an entry keeps
// rarely collide, and a collision costs one prefill.
type Block uint32
