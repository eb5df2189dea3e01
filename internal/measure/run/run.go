// Package run holds what several experiments need while they run.
package run

import (
	"context"
	"syscall"
	"time"
)

// Sleep waits, or returns the error of ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CPUTime returns the user and system time of this process.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the own process does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
