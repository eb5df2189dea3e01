// Package run holds what several experiments need while they run.
package run

import (
	"context"
	"syscall"
	"time"
)

// Pause waits, or returns the error of ctx.
func Pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ProcessorTime returns the user and system time of this process.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the own process does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
