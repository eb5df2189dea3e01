package wire

import "github.com/ansel1/merry/v2"

var (
	// ErrFrameTooLarge means that a frame's length is over MaxFrame.
	ErrFrameTooLarge = merry.New("frame too large")
	// ErrUnknownType means that a frame has a type that this version lacks.
	ErrUnknownType = merry.New("unknown frame type")
	// ErrMalformed means that a frame's body does not decode.
	ErrMalformed = merry.New("malformed frame")
	// ErrClosed means that the connection was closed by this side.
	ErrClosed = merry.New("connection closed")
	// ErrQueueFull means that the peer does not read as fast as this side sends.
	ErrQueueFull = merry.New("send queue full")
)
