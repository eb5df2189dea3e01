package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// usage is what a process has used so far.
type usage struct {
	// Processor is user and system time.
	Processor time.Duration `json:"processor"`
	// Memory is the heap in use after a collection and the stacks, in bytes.
	Memory float64 `json:"memory"`
}

func readUsage() usage {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var r syscall.Rusage
	// Getrusage of the own process does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		Processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		Memory:    float64(m.HeapAlloc + m.StackInuse),
	}
}
