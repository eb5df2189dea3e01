package engine

import "fmt"

// Fence is the fencing number of an order. Fences are ordered by Epoch first, then
// by Sequence.
type Fence struct {
	// Epoch is the start counter of the agent generation that issued the order.
	Epoch uint64 `json:"start"`
	// Sequence numbers the orders of one agent generation.
	Sequence uint64 `json:"sequence"`
}

// Before reports whether f is lower than other.
func (f Fence) Before(other Fence) bool {
	return f.Epoch < other.Epoch || f.Epoch == other.Epoch && f.Sequence < other.Sequence
}

// String returns epoch and sequence, joined by a dot.
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Epoch, f.Sequence) }
