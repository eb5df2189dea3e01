package tracker

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Session is one connection of an agent or of another entry. An agent has one
// for each version that it fetches or offers.
type Session struct {
	service  *Service
	identity model.Identity
	pool     string
	sender   Sender
	// sequence is the sequence number of the last announcement.
	sequence uint64
	// peersSentAt is the time when a list of peers was last sent.
	peersSentAt time.Time
	// peersSentCount is the number of agents that the tracker knew at that
	// time.
	peersSentCount int
}

// Handle processes one message. It returns false if the message does not belong
// to the tracker. It is safe for concurrent use.
func (c *Session) Handle(m wire.Message) bool { return c.service.handle(c, m) }

// Detach removes a connection that has ended. It may be called more than once.
func (c *Session) Detach() { c.service.detach(c) }

// outgoing is a message to send after the lock is released.
type outgoing struct {
	to      *Session
	message wire.Message
}
