// Package fault injects faults into the stand-ins of the platform's services.
package fault

import "time"

// Faults are the faults injected into a stand-in. The zero value injects none.
type Faults struct {
	// Down fails every call before it takes effect, as if the port were closed.
	Down bool `json:"down"`
	// Stall blocks every call until its context is done.
	Stall bool `json:"stall"`
	// Delay delays every call.
	Delay time.Duration `json:"delay"`
	// LoseAfter is the number of upcoming writes that take effect but whose reply is lost.
	LoseAfter int `json:"lose_after"`
	// LoseBefore is the number of upcoming writes that are lost before they take effect.
	// They get no reply. They are lost before the writes counted by LoseAfter.
	LoseBefore int `json:"lose_before"`
	// StaleBy makes reads return the state before the last StaleBy writes.
	StaleBy int `json:"stale_by"`
	// CorruptEvery flips one bit in every CorruptEvery-th read of object bytes; 0
	// disables it.
	CorruptEvery int `json:"corrupt_every"`
	// CutAfter aborts a byte stream after that many bytes; 0 disables it.
	CutAfter int64 `json:"cut_after"`
	// StallAfter blocks a byte stream after that many bytes, without closing it; 0
	// disables it.
	StallAfter int64 `json:"stall_after"`
}
