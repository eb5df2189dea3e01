package tracker

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Session is one connection of an agent or of another entry. An agent may have
// several: one for each version that it fetches or offers.
type Session struct {
	service  *Service
	identity model.Identity
	pool     string
	sender   Sender
	// sequence is that of the last announcement.
	sequence uint64
	// peersSent is when the agent last got a list of peers.
	peersSent time.Time
	// peersKnown is the number of agents that the tracker knew then.
	peersKnown int
}

// Handle takes one message and reports whether it is one that belongs to the
// tracker. It is safe for concurrent use.
func (c *Session) Handle(m wire.Message) bool { return c.service.handleLocked(c, m) }

// Detach forgets the connection, which has ended.
func (c *Session) Detach() { c.service.detach(c) }

// outgoing is a message that is sent after the lock is released.
type outgoing struct {
	to      *Session
	message wire.Message
}
