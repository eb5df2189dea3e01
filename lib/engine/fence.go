package engine

import "fmt"

// Fence numbers an order: first by the start counter of the agent generation
// that gave it, then by a sequence within that generation.
type Fence struct {
	Epoch    uint64 `json:"start"`
	Sequence uint64 `json:"sequence"`
}

// Before reports whether f is older than other.
func (f Fence) Before(other Fence) bool {
	return f.Epoch < other.Epoch || f.Epoch == other.Epoch && f.Sequence < other.Sequence
}

// String returns both numbers joined by a dot.
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Epoch, f.Sequence) }
