// Package attempt implements the state machine of one request at an entry:
// dispatch, reattach, wait, or finish with a provably correct outcome.
//
// A Machine receives the events of one request and returns the next Step. It is
// not safe for concurrent use; it belongs to the goroutine of the request. All
// machines share one immutable transition table.
//
// A repeatable stream that has already reached the caller in part may continue
// on another instance. The new attempt runs the request from the start on an
// instance with exactly the weights in Step.Weights. The Machine hashes the new
// bytes up to the number already forwarded, compares the digest with that of
// the forwarded bytes and forwards only the bytes that follow. If the digests
// differ, the caller's response ends as incomplete.
package attempt
