package engine

import "github.com/auburnbend/auburnbend/lib/model"

// Request asks an engine to generate a response.
type Request struct {
	ID model.RequestID `json:"id"`
	// Stream identifies the response for resume and cancel; the agent uses the
	// attempt ID.
	Stream  string        `json:"stream"`
	Weights model.Weights `json:"weights"`
	// Priority orders requests in the engine's queue; higher numbers run first.
	Priority int        `json:"priority"`
	Prefix   PrefixHash `json:"prefix"`
	// RemainingMillis is the time until the deadline in milliseconds; 0 means no
	// deadline. The engine rejects a request that it cannot start in time.
	RemainingMillis int64  `json:"remaining_ms,omitempty"`
	Body            []byte `json:"body"`
	// Resume continues Stream at frame Offset instead of starting it. Body is
	// empty then.
	Resume bool   `json:"resume,omitempty"`
	Offset uint64 `json:"offset,omitempty"`
}
