package capacity

import (
	"runtime"
	"time"

	measurerun "github.com/auburnbend/auburnbend/internal/measure/run"
)

// usage is the resource usage of a process. The child process sends it as JSON.
type usage struct {
	// CPUTime is the user and system time since the start of the process.
	CPUTime time.Duration `json:"processor"`
	// MemoryBytes is the heap in use after a garbage collection plus the stacks.
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
