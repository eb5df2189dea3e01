package daemon

import "context"

// Process is a running daemon.
type Process interface {
	// Drain stops accepting new work and waits for running work. It returns nil when
	// no work is left, or an error soon after ctx ends.
	Drain(ctx context.Context) error
	// Close stops the process immediately. It is always called, also while an aborted
	// Drain may still be running.
	Close() error
	// Failed returns a channel that receives an error if the process cannot continue.
	Failed() <-chan error
}
