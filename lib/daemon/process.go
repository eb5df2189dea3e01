package daemon

import "context"

// Process is a running daemon.
type Process interface {
	// Drain stops taking new work, finishes what runs and returns nil when
	// nothing is left, or an error when ctx ends first.
	Drain(ctx context.Context) error
	// Close ends the process at once. It is called after Drain in any case.
	Close() error
	// Failed delivers an error when the process cannot go on.
	Failed() <-chan error
}
