package wire

import "github.com/ansel1/merry/v2"

var (
	// ErrFrameTooLarge means that a frame's body is larger than MaxFrameBytes.
	ErrFrameTooLarge = merry.New("frame too large")
	// ErrUnknownType means that this version does not know the type of a frame.
	ErrUnknownType = merry.New("unknown frame type")
	// ErrMalformed means that a frame's body cannot be decoded.
	ErrMalformed = merry.New("malformed frame")
	// ErrClosed means that this side has closed the connection or its writer failed.
	ErrClosed = merry.New("connection closed")
	// ErrQueueFull means that the send queue is full, because the peer reads more
	// slowly than this side sends.
	ErrQueueFull = merry.New("send queue full")
)
