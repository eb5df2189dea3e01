package node

import "github.com/auburnbend/auburnbend/platform"

const (
	// defaultMaxDescriptors and defaultMemoryLimit apply where the settings have no limit.
	defaultMaxDescriptors = 4096
	defaultMemoryLimit    = 256 << 20
	// reservedDescriptors are for files, as the platform requires.
	reservedDescriptors = 200
	// connMemoryBytes is what a connection of a caller takes besides the budgets: its buffers
	// and goroutines and those to the backend server, a head that needs no reservation, and a body
	// that needs no reservation.
	connMemoryBytes = 48 << 10
	// connMemoryDivisor determines the part of the memory for the connections of callers: a
	// quarter. headMemoryDivisor determines that for long heads: a sixteenth.
	connMemoryDivisor = 4
	headMemoryDivisor = 16
	// descriptorsPerCaller counts the connection of a caller and that to a backend server.
	descriptorsPerCaller = 2
)

// connLimits bound the connections of the listeners of an instance.
type connLimits struct {
	callers, ready, metrics int
	// tables bounds the connections of instances that follow a table of the store through an
	// entry, and peers those of replicas that fetch weights from another one.
	tables, peers int
	// lingering bounds the connections to backend servers that have answered and not taken the
	// whole request yet.
	lingering int
	// headBytes bounds the memory of long heads of callers' requests.
	headBytes int64
}

func newConnLimits(s *platform.Settings) connLimits {
	descriptors, memoryBytes := s.MaxDescriptors, s.MemoryLimit
	if descriptors <= 0 {
		descriptors = defaultMaxDescriptors
	}
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryLimit
	}
	usable := max(0, descriptors-reservedDescriptors)
	l := connLimits{
		ready: within(usable/16, 8, 64), metrics: within(usable/32, 4, 16), tables: within(usable/8, 16, 512), peers: within(usable/4, 16, 256),
		lingering: within(usable/16, 8, 256),
		headBytes: memoryBytes / headMemoryDivisor,
	}
	byDescriptors := (usable - l.ready - l.metrics - l.tables - l.lingering) / descriptorsPerCaller
	l.callers = max(1, min(byDescriptors, int(memoryBytes/connMemoryDivisor/connMemoryBytes)))
	return l
}

func within(n, low, high int) int { return min(max(n, low), high) }
