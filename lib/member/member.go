package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// State is the connection state of a member.
type State uint8

const (
	// StateListed means that the member is only known from the platform's instance
	// list.
	StateListed State = iota
	// StateLive means that the member has a working connection.
	StateLive
	// StateReconnecting means that the member has lost its last working connection and
	// that new connections are being tried.
	StateReconnecting
	// StateGone means that the member has left or cannot be reached. It stays in
	// the view while the platform lists it and becomes live again when it
	// connects.
	StateGone
)

// Member is an entry or agent. Values returned by a View are copies.
type Member struct {
	Identity model.Identity
	Role     backing.InstanceRole
	Pool     string
	State    State
	// Draining is true once the generation is known to be leaving. It is never
	// reset for the same generation.
	Draining bool
	// Heartbeat is the last heartbeat received.
	Heartbeat wire.Heartbeat
	// HeartbeatAt is when Heartbeat arrived. It is zero until the first heartbeat
	// after the member connected or was restored.
	HeartbeatAt time.Time
}

// Usable reports whether the member may get new work: it is live and not draining,
// and its last heartbeat is at most IdleInterval old. The last condition limits
// how long a draining member gets work if its notification is lost. It also covers
// a draining member that has just reconnected and has not sent a heartbeat yet.
func (m Member) Usable(now time.Time) bool {
	return m.State == StateLive && !m.Draining && !m.HeartbeatAt.IsZero() && now.Sub(m.HeartbeatAt) <= IdleInterval
}

// memberState is the state of a member in a View.
type memberState struct {
	Member
	listed            bool
	conns             int // number of connections that are not silent
	disconnectedSince time.Time
	dialFailures      int
	goneAt            time.Time
}
