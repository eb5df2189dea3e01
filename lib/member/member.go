package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// State says how far a member can be used.
type State uint8

const (
	// StateListed is a member that only the platform's list shows.
	StateListed State = iota
	// StateLive is a member with a working connection.
	StateLive
	// StateProbing is a member without a working connection that is not judged
	// yet: a new connection is being tried.
	StateProbing
	// StateGone is a member to which no new connection works. It stays in the
	// view while the platform lists it and comes back when it connects.
	StateGone
)

// Member is one entry or agent. Values are copies.
type Member struct {
	Identity model.Identity
	Role     backing.InstanceRole
	Pool     string
	State    State
	// Draining is true from the first sign that the generation is leaving. It
	// never becomes false for one generation.
	Draining bool
	// Heartbeat is the last one received.
	Heartbeat wire.Heartbeat
	// HeartbeatAt is when it arrived. It is zero until the first heartbeat
	// after the member connected or was restored.
	HeartbeatAt time.Time
}

// Usable reports whether the member may get new work: it is live, not draining,
// and its last heartbeat is at most IdleInterval old. The last condition bounds
// the time for which a leaving member gets work when its notification is lost,
// and also covers a leaving member that has only just been connected again.
func (m Member) Usable(now time.Time) bool {
	return m.State == StateLive && !m.Draining && !m.HeartbeatAt.IsZero() && now.Sub(m.HeartbeatAt) <= IdleInterval
}

// entry is the state of a member inside the view.
type entry struct {
	Member
	listed        bool
	conns         int // connections that are not silent
	probeSince    time.Time
	probeFailures int
	goneAt        time.Time
}
