package link

import "github.com/auburnbend/auburnbend/lib/wire"

// EventKind tells the events of an Inbox apart.
type EventKind uint8

const (
	// MessageReceived carries a message about the attempt.
	MessageReceived EventKind = iota
	// ConnectionLost says that the connection broke: what was sent may or may
	// not have arrived.
	ConnectionLost
	// Reconnected says that a new connection to the same generation of the agent
	// is up, so that the attempt can be reattached.
	Reconnected
	// AgentReplaced says that another generation of the agent answers at the address:
	// the attempt is gone with the old one.
	AgentReplaced
)

// Event is one thing that happened to an attempt.
type Event struct {
	Kind    EventKind
	Message wire.Message
}
