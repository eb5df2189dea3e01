package config

import (
	"github.com/ansel1/merry/v2"
)

var (
	// ErrMalformed means that data is not a valid encoding of a configuration,
	// delta, revision or stored record.
	ErrMalformed = merry.New("malformed configuration data")
	// ErrChainBroken means that a revision does not continue the digest chain of
	// the revision that it was applied to.
	ErrChainBroken = merry.New("configuration digest chain broken")
	// ErrRevisionGap means that revisions between the one that the replica holds
	// and the received ones are missing. The caller has to fetch them first.
	ErrRevisionGap = merry.New("configuration revisions missing")
	// ErrStoreUnavailable means that the store did not answer and nothing was
	// written.
	ErrStoreUnavailable = merry.New("configuration store unavailable")
	// ErrRevisionNotFound means that the store holds no such revision.
	ErrRevisionNotFound = merry.New("configuration revision not found")
	// ErrOperationReused means that the operation ID belongs to another change or
	// was abandoned. The operator has to choose a new one.
	ErrOperationReused = merry.New("operation id already used")
)
