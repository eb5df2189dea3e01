package config

// Request asks the store to accept a whole configuration.
type Request struct {
	Config *Config
	// Expected is the revision that the operator's change was made from; 0
	// before the first revision.
	Expected uint64
	// Operation identifies the request. A repeated request with the same id is
	// accepted once.
	Operation string
	Author    string
	// DryRun validates and compares without writing.
	DryRun bool
}

// Result is the answer to an accepted Request.
type Result struct {
	// Head is the revision that the request led to, or for a dry run the one
	// that it was compared with.
	Head Head
	// Differences is what the request changes.
	Differences []Difference
	// Unchanged is true when the request equals the current configuration; no
	// revision is made and the operation id is not recorded.
	Unchanged bool
	// Replayed is true when an earlier request with the same id was accepted.
	Replayed bool
	// EncodedRevision is the accepted revision for the replica of the process.
	EncodedRevision []byte
}
