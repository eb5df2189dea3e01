package engine

import "github.com/auburnbend/auburnbend/lib/model"

// Request asks an engine to generate an answer.
type Request struct {
	ID model.RequestID `json:"id"`
	// Stream names the answer for resume and cancel; the agent uses the
	// attempt id.
	Stream  string        `json:"stream"`
	Weights model.Weights `json:"weights"`
	// Priority orders requests in the engine's queue; a higher number is
	// served first.
	Priority int        `json:"priority"`
	Prefix   PrefixHash `json:"prefix"`
	// RemainingMillis is the time until the deadline in milliseconds; the
	// engine refuses a request that it cannot start before. 0 means none.
	RemainingMillis int64  `json:"remaining_ms,omitempty"`
	Body            []byte `json:"body"`
	// Resume continues Stream at Offset instead of starting it; Body is empty.
	Resume bool   `json:"resume,omitempty"`
	Offset uint64 `json:"offset,omitempty"`
}
