package config

import "fmt"

// RevisionConflictError reports that the current revision is not the one that
// the request was based on. The request was not accepted and will not be.
type RevisionConflictError struct {
	Expected uint64
	Current  Head
	// Author and Operation identify the change that created the current
	// revision.
	Author    string
	Operation string
	// Differences lists the changes from the expected to the current revision.
	Differences []Difference
}

func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, current is %d by %s", e.Expected, e.Current.Number, e.Author)
}

// UnknownOutcomeError reports that the store did not confirm whether the request
// took effect. Store.Operation resolves the operation ID later.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of operation %s is unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the last error from the store.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
