// Package fault holds the fault switches that the stand-ins of the platform
// share.
package fault

import "time"

// Faults says how a stand-in misbehaves. The zero value is a healthy service.
type Faults struct {
	// Down refuses every call before it has an effect, like a closed port.
	Down bool `json:"down"`
	// Stall leaves every call without an answer until its context ends.
	Stall bool `json:"stall"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAfter is the number of coming writes that take effect and whose
	// replies are lost.
	LoseAfter int `json:"lose_after"`
	// LoseBefore is the number of coming writes that are lost on the way, so
	// that they have no effect and no reply.
	LoseBefore int `json:"lose_before"`
	// StaleBy makes reads show the state before the last StaleBy writes.
	StaleBy int `json:"stale_by"`
	// CorruptEvery flips one bit in every n-th read of bytes; 0 means never.
	CorruptEvery int `json:"corrupt_every"`
	// CutAfter ends a stream of bytes early after that many bytes; 0 means
	// never.
	CutAfter int64 `json:"cut_after"`
	// StallAfter stops a stream of bytes after that many bytes without closing
	// it; 0 means never.
	StallAfter int64 `json:"stall_after"`
}
