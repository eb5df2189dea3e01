// Package gate stands in front of an agent's backend server. It admits or
// refuses each request, numbers the frames of answers, keeps them until the
// entry has them, and knows what is in flight when the backend server dies.
//
// Core decides and is pure: events and the time go in, decisions come out. It is
// not safe for concurrent use. Shell runs a Core over a Backend and the entries'
// connections, with two goroutines per attempt, and is safe for concurrent use.
//
// A RequestRefused proves that the backend server did not run the attempt and
// will not: the gate remembers refused ids, so that a copy of the RequestStart
// that arrives later is refused too. For the same reason a duplicate of an
// attempt that was admitted gets no answer at all, and a Reattach or a
// RequestCancel for an id that was never seen marks the id as refused.
//
// An entry confirms frames with ResponseAck. An ack of Frames+1 confirms the end
// and lets the gate forget the answer.
package gate
