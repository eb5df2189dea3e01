// Package reservation runs requests at most once without a write to the store.
// An entry issues a token that is bound to one generation of one agent and
// carries a sequence number. Only that generation may run the request. It marks
// used numbers in a sliding bitmap, like the anti-replay windows of network
// protocols. docs/decisions/claims-and-reservations.md compares this with
// claims.
//
// A number below the window counts as used, because the agent no longer knows
// whether it was. When the generation of the agent ends, its unused tokens
// become invalid.
//
// The types are not safe for concurrent use. Tokens are not signed, because
// they are exchanged only between the system's own processes.
package reservation
