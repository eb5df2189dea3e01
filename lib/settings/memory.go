package settings

import "fmt"

const (
	// defaultMemoryLimit is the memory that a node spends on control at most.
	defaultMemoryLimit = 256 * MiB
	// minMemoryLimit leaves 42 MiB for bodies, 16 MiB for responses, and twice what an
	// entry with the planned number of connections takes.
	minMemoryLimit = 128 * MiB
	maxMemoryLimit = 1 * TiB
	// memoryPerRequest is the memory for each of an agent's concurrent requests, of which a
	// quarter is for the first 16 KiB of its body and of its response: these are held in any
	// case.
	memoryPerRequest = 4 * 32 * KiB

	// bodyMemoryDivisor and responseMemoryDivisor determine the parts of the limit that
	// long bodies of requests, and long responses and events, take together. The rest is
	// for the process itself and for the slack of the garbage collector.
	bodyMemoryDivisor     = 3
	responseMemoryDivisor = 8
)

// Memory holds the limit of what a process takes.
type Memory struct {
	// Limit is the memory of the process in bytes.
	Limit Bytes
}

// BodyBytes is the part of the limit in bytes that long bodies of requests may take
// together.
func (m Memory) BodyBytes() int64 { return int64(m.Limit) / bodyMemoryDivisor }

// ResponseBytes is the part of the limit in bytes that long responses and events may take
// together.
func (m Memory) ResponseBytes() int64 { return int64(m.Limit) / responseMemoryDivisor }

// memory reads the [memory] section. capacity is the number of concurrent requests of an
// agent, and 0 for entries.
func (r *reader) memory(capacity int) Memory {
	const section, key = "memory", "limit"
	needed := Bytes(capacity) * memoryPerRequest
	m := Memory{Limit: r.bytes(section, key, max(defaultMemoryLimit, needed), minMemoryLimit, maxMemoryLimit)}
	if m.Limit >= minMemoryLimit && m.Limit <= maxMemoryLimit && m.Limit < needed {
		r.addViolation(section, key, fmt.Sprintf("value conflicts with capacity = %d of [backend]", capacity),
			fmt.Sprintf("at least %s for this capacity, or a capacity of at most %d", needed, m.Limit/memoryPerRequest))
	}
	return m
}
