// Package reservation is a way to run a request at most once without a write to
// the store. An entry issues a token that is bound to one generation of one
// agent and carries a sequence number. Only that generation may run it, and it
// marks used numbers in a sliding bitmap, as anti-replay windows of network
// protocols do. docs/decisions/claims-and-reservations.md compares it with
// claims.
//
// A number below the window counts as used: the agent cannot tell any more. When
// the agent's generation ends, its unused tokens end with it.
//
// Nothing here is safe for concurrent use. Tokens carry no signature: they
// travel between the system's own processes only.
package reservation
