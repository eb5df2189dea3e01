// Package run provides helpers shared by the experiments.
package run

import (
	"context"
	"syscall"
	"time"
)

// Sleep waits for d, or returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CPUTime returns the user and system CPU time of this process.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage with RUSAGE_SELF does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
