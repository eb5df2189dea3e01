package daemon

import "syscall"

const (
	// reservedDescriptors are for files, connections to the platform and the process itself.
	reservedDescriptors = 100
	// maxDescriptors bounds the descriptors that the limits of connections are derived from,
	// where the operating system has a higher limit or none.
	maxDescriptors = 1 << 16
	// connMemoryBytes is what a connection of a caller takes besides the budgets: its buffers
	// and goroutines, and a head and a body that need no reservation.
	connMemoryBytes = 48 << 10
	// connMemoryDivisor determines the part of the memory for the connections of callers: a
	// quarter.
	connMemoryDivisor = 4
)

// ConnLimits bound the connections of the listeners of a process.
type ConnLimits struct{ Callers, Peers, Operators int }

// NewConnLimits derives the limits from the memory limit of a process in bytes and from the
// limit of its descriptors.
func NewConnLimits(memory int64) ConnLimits {
	usable := maxDescriptors
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		usable = int(min(limit.Cur, maxDescriptors))
	}
	usable = max(0, usable-reservedDescriptors)
	return ConnLimits{
		Callers:   max(1, min(usable/2, int(memory/connMemoryDivisor/connMemoryBytes))),
		Peers:     max(16, min(usable/4, 4096)),
		Operators: max(4, min(usable/16, 32)),
	}
}
