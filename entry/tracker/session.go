package tracker

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// session is one connected agent.
type session struct {
	identity model.Identity
	pool     string
	sender   Sender
	// peersSent is when the agent last got a list of peers.
	peersSent time.Time
}

// outgoing is a message that is sent after the lock is released.
type outgoing struct {
	to      *session
	message wire.Message
}
