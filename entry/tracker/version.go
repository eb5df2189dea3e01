package tracker

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// version is the state of one manifest. The tracker is nil until the manifest
// is known.
type version struct {
	digest  model.Digest
	encoded []byte
	tracker *distribute.Tracker
	seen    time.Time
	// fetchUntil is when the agent that was told to fetch the manifest from the
	// origin has run out of time.
	fetchUntil time.Time
	// waiting holds agents that asked for the manifest meanwhile.
	waiting []*Session
	// pending holds announcements that came before the manifest, by address.
	pending map[string]*wire.Announce
	// members holds the connections on which agents announced, by peer address.
	members map[string]*Session
	status  map[model.InstanceID]wire.InstanceStatus
}
