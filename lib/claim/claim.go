// Package claim keeps at-most-once records of non-repeatable requests in the
// platform's table service.
//
// Before dispatching, an entry claims a key under its own attempt ID. A claim
// is not a lease: no other process takes over a claim whose request may have
// been dispatched, so a holder that pauses and resumes cannot cause a second
// run. Only three kinds of rows are overwritten, each conditional on its
// version: rows older than the retention, released rows, and rows whose attempt
// is known never to have been dispatched.
//
// A row of an undispatched attempt can remain if the reply to the claim is lost
// and reading it back fails. The entry then never dispatches the request and
// responds with not_run, which remains true. The row may nevertheless exist, or
// appear later when the delayed write is applied. Three measures keep the key
// usable:
//
//   - RetryPending replaces the row by a released one, or inserts a released row
//     where there is none, so that the delayed write fails.
//   - Until then, the same entry overwrites the row if the request is sent again.
//   - Decision.Proofs is returned to the caller. A caller that presents all
//     proofs it was given for the key may overwrite the row, even if the first
//     entry is gone. Attempt IDs are random and disclosed to callers only in this
//     case.
//
// If the entry dies before RetryPending has succeeded and the caller presents
// no proof, requests with this key end as unknown until the retention has
// passed.
//
// A Ledger and a Batcher are safe for concurrent use.
package claim
