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

// Handle processes one message. It returns false if trackers don't handle
// messages of its type. It is safe for concurrent use.
func (s *Session) Handle(m wire.Message) bool { return s.service.handle(s, m) }

// Detach removes a connection that has ended. It may be called more than once.
func (s *Session) Detach() { s.service.detach(s) }

// outgoing is a message to send after the lock is released.
type outgoing struct {
	to      *Session
	message wire.Message
}
