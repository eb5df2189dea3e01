package capacity

import (
	"runtime"
	"time"

	measurerun "github.com/auburnbend/auburnbend/internal/measure/run"
)

// usage is what a process has used so far.
type usage struct {
	// CPUTime is user and system time.
	CPUTime time.Duration `json:"processor"`
	// MemoryBytes is the heap in use after a collection and the stacks, in bytes.
	MemoryBytes float64 `json:"memory"`
}

func readUsage() usage {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		CPUTime:     measurerun.CPUTime(),
		MemoryBytes: float64(m.HeapAlloc + m.StackInuse),
	}
}
