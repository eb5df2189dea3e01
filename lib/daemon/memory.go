package daemon

import "runtime/debug"

// heapLimitFraction is the part of the process's memory that is the soft limit of the Go
// runtime. The rest is left for stacks and for buffers of the operating system.
const heapLimitFraction = 0.7

// LimitMemory makes the garbage collector run more often as the process approaches limit
// bytes. Otherwise the heap would grow to twice of what is in use.
func LimitMemory(limit int64) { debug.SetMemoryLimit(int64(heapLimitFraction * float64(limit))) }
