// Package gate controls the requests to an agent's backend server. It admits or
// refuses each request, numbers the frames of responses, keeps them until the entry has
// confirmed them, and reports which requests were in flight if the backend server
// crashes.
//
// Core makes the decisions. It is deterministic and performs no I/O: it takes events
// with their time and returns decisions. It is not safe for concurrent use. Gate runs a
// Core with a Backend and the connections of entries, uses two goroutines per attempt,
// and is safe for concurrent use.
//
// A RequestRefused proves that the backend server has not run the attempt and will not
// run it: the gate remembers refused IDs and also refuses later copies of the
// RequestStart. For the same reason a duplicate of an admitted attempt is ignored, and
// a Reattach or RequestCancel for an unknown ID marks that ID as refused.
//
// Entries confirm frames with ResponseAck. An ack with NextSequence = Frames+1
// confirms the end, after which the gate drops the response.
package gate
