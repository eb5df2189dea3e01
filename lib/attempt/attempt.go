// Package attempt decides what happens to one caller's request at an entry:
// dispatch, reattach, wait, or finish with an outcome that is true.
//
// A Machine takes the events of one request in and returns the next Step. It
// is not safe for concurrent use; its owner is the goroutine of the request.
// Machines share one table of states and transitions, which is immutable.
//
// A repeatable stream of which the caller already has bytes may continue on
// another instance. The new attempt runs the request from its start on an
// instance with exactly the weights in Step.Weights. The Machine hashes the new
// bytes up to the number already forwarded, compares the digest with that of
// the forwarded bytes and forwards only what follows. When they differ, the
// caller's answer ends as incomplete.
package attempt
