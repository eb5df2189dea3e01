package wire

// Message is the body of a frame.
type Message interface {
	// Type returns the type of the message.
	Type() Type
}
