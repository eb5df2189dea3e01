package engine

import "github.com/auburnbend/auburnbend/lib/model"

// Names of the server-sent events of an answer.
const (
	EventStart = "start"
	EventToken = "token"
	EventEnd   = "end"
	EventError = "error"
)

// StreamStart opens an answer.
type StreamStart struct {
	Request model.RequestID `json:"request"`
	Stream  string          `json:"stream"`
	Weights model.Weights   `json:"weights"`
}

// Frame is one piece of an answer. Offsets start at 0.
type Frame struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// StreamEnd closes an answer.
type StreamEnd struct {
	// Frames counts the frames from offset 0 on.
	Frames uint64 `json:"frames"`
	// Digest is over the data of all frames.
	Digest  model.Digest  `json:"digest"`
	Weights model.Weights `json:"weights"`
}

// StreamError ends an answer that does not become complete.
type StreamError struct {
	Reason string `json:"reason"`
	// Started is false when the engine proves that it ran nothing.
	Started bool `json:"started"`
}
