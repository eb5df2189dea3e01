package capacity

import (
	"runtime"
	"time"

	measurerun "github.com/auburnbend/auburnbend/internal/measure/run"
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
	return usage{
		Processor: measurerun.ProcessorTime(),
		Memory:    float64(m.HeapAlloc + m.StackInuse),
	}
}
