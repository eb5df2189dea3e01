package claim

import "github.com/ansel1/merry/v2"

var (
	// ErrFenced means that the row holds no claim of this attempt: it belongs to
	// another attempt, was completed, released or pruned, or cannot be decoded.
	// Nothing was written.
	ErrFenced = merry.New("claim is not held by this attempt")
	// ErrPending means that the store did not confirm a release or a result. The
	// ledger keeps the update and RetryPending retries it.
	ErrPending = merry.New("claim update not confirmed by the store; will be retried")
	// ErrBacklogFull means that the store did not confirm a release or a result
	// and that the ledger has no room to keep the update.
	ErrBacklogFull = merry.New("claim update not confirmed by the store and dropped: too many pending updates")
)
