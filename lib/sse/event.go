// Package sse splits a stream of server-sent events into complete events, so that a
// broken connection never leads to a truncated event being passed on.
package sse

// Event is one complete event.
type Event struct {
	// Raw contains the bytes of the event, including the final blank line. It is
	// valid until the next call of Reader.Next.
	Raw []byte
	// ID is the numeric ID, which is not negative. It is valid only if HasID is true.
	ID    int64
	HasID bool
	// HasData is true if the event has a data field and is not just a comment.
	HasData bool
	// Type is the value of the event field; empty for an ordinary event.
	Type string
	// IsIgnorable is true if receivers do nothing with the event but keep the
	// connection: it contains only comments, blank lines or reconnection times.
	IsIgnorable bool
}
