package config

import "fmt"

// RevisionConflictError means that the configuration is no longer at the
// revision that the request was made from. The request was not and will not be
// accepted.
type RevisionConflictError struct {
	Expected uint64
	Current  Head
	// Author and Operation are those of the current revision.
	Author    string
	Operation string
	// Differences leads from the expected to the current revision.
	Differences []Difference
}

func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, current is %d by %s", e.Expected, e.Current.Number, e.Author)
}

// UnknownOutcomeError means that the store did not say whether the request took
// effect. The operation id tells later.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of operation %s is unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the store's error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
