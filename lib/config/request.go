package config

// Request asks the store to accept a complete configuration.
type Request struct {
	Config *Config
	// Expected is the revision number that the change is based on, 0 before the
	// first revision.
	Expected uint64
	// Operation is the ID that makes the request idempotent: repeated requests
	// with the same ID are accepted once.
	Operation string
	// Author is the name of the operator.
	Author string
	// DryRun validates the request and computes the differences without writing.
	DryRun bool
}

// Result is the result of a successful Request.
type Result struct {
	// Head is the revision that the request created, or for a dry run the one
	// that it was compared with.
	Head Head
	// Differences lists the values that the request changes.
	Differences []Difference
	// Unchanged is true if the request equals the current configuration. In that
	// case no revision is created and the operation ID is not recorded.
	Unchanged bool
	// Replayed is true if an earlier request with the same ID was accepted.
	Replayed bool
	// EncodedRevision is the accepted revision, which the process can apply to its
	// own replica immediately.
	EncodedRevision []byte
}
