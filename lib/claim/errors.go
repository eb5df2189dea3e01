package claim

import "github.com/ansel1/merry/v2"

var (
	// ErrFenced means that the row belongs to another attempt, or that the
	// request has a result already. Nothing was written.
	ErrFenced = merry.New("claim belongs to another attempt")
	// ErrPending means that the store did not confirm a release or a result. The
	// ledger keeps it and Sweep tries again.
	ErrPending = merry.New("claim update pending")
	// ErrBacklogFull means that the store did not confirm a release or a result and
	// that the ledger has no room to keep it.
	ErrBacklogFull = merry.New("too many pending claim updates")
)
