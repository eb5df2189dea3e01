package link

import "github.com/auburnbend/auburnbend/lib/wire"

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// MessageReceived means that a message about the attempt has arrived.
	MessageReceived EventKind = iota
	// ConnectionLost means that the connection failed. Messages sent before may or
	// may not have arrived.
	ConnectionLost
	// Reconnected means that a new connection to the same generation of the agent
	// is established. The attempt can be reattached.
	Reconnected
	// AgentReplaced means that a new connection to another generation of the agent
	// is established. The attempt was lost with the old generation.
	AgentReplaced
)

// Event reports a message or a change of the connection to one attempt.
type Event struct {
	Kind EventKind
	// Message is set for MessageReceived.
	Message wire.Message
}
