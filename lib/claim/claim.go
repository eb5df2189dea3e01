// Package claim keeps at-most-once records of non-repeatable requests in the
// platform's table service.
//
// An entry claims a key under its own attempt id before it dispatches. The
// claim is not a lease: no other process takes over a claim whose request may
// have been dispatched, so a holder that pauses and resumes cannot cause a
// second run. Only three kinds of rows are written over, each on condition of
// its version: rows older than the retention, released rows, and rows whose
// attempt is known never to have been dispatched.
//
// A row that stands for an undispatched attempt arises when the reply to the
// claim is lost and the read-back fails. The entry then never dispatches and
// answers not run, which stays true. The row may exist all the same, or may yet
// appear when the delayed write lands. Three measures keep the key usable:
//
//   - Sweep replaces the row by a released one, or inserts a released row where
//     there is none, so that the delayed write fails.
//   - The same entry writes over the row when it is asked again before that.
//   - Answer.Proofs is handed to the caller. A caller that presents all that it
//     was given under the key may write over the row, even when the first entry
//     is gone. Attempt ids are random and shown to callers in this case only.
//
// When the entry dies before its sweep and the caller presents no proof, the
// key answers unknown until the retention ends.
//
// A Ledger and a Batcher are safe for concurrent use.
package claim
