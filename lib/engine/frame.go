package engine

import "github.com/auburnbend/auburnbend/lib/model"

// Types of the server-sent events in a response stream.
const (
	EventStart = "start"
	EventToken = "token"
	EventEnd   = "end"
	EventError = "error"
)

// StreamStart is the data of EventStart, the first event of a response.
type StreamStart struct {
	Request model.RequestID `json:"request"`
	Stream  string          `json:"stream"`
	Weights model.Weights   `json:"weights"`
}

// Frame is the data of EventToken: one part of a response. Offsets count frames
// and start at 0.
type Frame struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// StreamEnd is the data of EventEnd, the last event of a complete response.
type StreamEnd struct {
	// Frames is the number of frames of the whole response.
	Frames uint64 `json:"frames"`
	// Digest is the digest over the data of all frames.
	Digest  model.Digest  `json:"digest"`
	Weights model.Weights `json:"weights"`
}

// StreamError is the data of EventError, the last event of a response that could
// not be completed.
type StreamError struct {
	Reason string `json:"reason"`
	// Started is false if the engine guarantees that the request did not run.
	Started bool `json:"started"`
}
