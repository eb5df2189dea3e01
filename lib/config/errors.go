package config

import (
	"github.com/ansel1/merry/v2"
)

var (
	// ErrMalformed means that bytes are not an encoded configuration, delta or
	// revision.
	ErrMalformed = merry.New("malformed configuration data")
	// ErrChainBroken means that a revision does not continue the digest chain of the
	// state that it was applied to.
	ErrChainBroken = merry.New("configuration digest chain broken")
	// ErrRevisionGap means that revisions between the replica's and the offered ones
	// are missing; the caller fetches them.
	ErrRevisionGap = merry.New("configuration revisions missing")
	// ErrStoreUnavailable means that the store did not answer and that nothing
	// was written.
	ErrStoreUnavailable = merry.New("configuration store unavailable")
	// ErrRevisionNotFound means that a revision was never accepted.
	ErrRevisionNotFound = merry.New("configuration revision not found")
	// ErrOperationReused means that an operation id was used for another change
	// or was abandoned; the operator picks a new one.
	ErrOperationReused = merry.New("operation id already used")
)
