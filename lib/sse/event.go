// Package sse splits a stream of server-sent events into whole events, so that
// a broken connection never cuts one in two.
package sse

// Event is one whole event.
type Event struct {
	// Raw are its bytes with the blank line that ends it. They are valid until
	// the next call of the reader.
	Raw []byte
	// ID is its number; HasID tells whether it has one.
	ID    int64
	HasID bool
	// HasData tells that it is more than a comment.
	HasData bool
}
