package tracker

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// version is the state of one version of weights. The tracker is nil until the
// manifest is known.
type version struct {
	digest   model.Digest
	encoded  []byte
	tracker  *distribute.Tracker
	lastSeen time.Time
	// originFetchDeadline is the time until which the agent that was sent to
	// the origin for the manifest has to deliver it.
	originFetchDeadline time.Time
	// manifestWaiters are the sessions that requested the manifest in the
	// meantime.
	manifestWaiters []*Session
	// pendingAnnounces holds announcements that arrived before the manifest, by
	// peer address.
	pendingAnnounces map[string]*wire.Announce
	// sessions holds the connections of agents that announced the version, by
	// peer address.
	sessions map[string]*Session
	statuses map[model.InstanceID]wire.InstanceStatus
}
