// Package tracker implements the distribution tracker of an entry. It answers
// agents' announcements for any number of versions with assignments, forwards
// manifests, exchanges summaries with other trackers and grants load permits.
//
// Service is safe for concurrent use: a single mutex protects its state, and
// messages are sent after the mutex is released.
package tracker

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Sender sends messages to one agent. TrySend must not block. *wire.Conn
// implements it.
type Sender interface {
	TrySend(wire.Message) error
}

// Config configures a Service. Zero values are replaced by defaults.
type Config struct {
	Clock clock.Clock
	// Seed makes random decisions reproducible; 0 derives a seed from the
	// clock.
	Seed int64
	Log  *eventlog.Logger
	// Location is the failure domain of the entry.
	Location model.Location
	// Tracker is the template of the configuration of each version's tracker.
	// Digest, Manifest, Location, Policy and Rand are filled in.
	Tracker distribute.TrackerConfig
	// Policy returns the distribution policy of a version. nil means that each
	// failure domain fetches one copy.
	Policy func(manifest model.Digest) distribute.Policy
	// PoolState returns the current state of a pool in this failure domain,
	// which load permits depend on. nil means that all permits are refused.
	PoolState func(pool string) rollout.PoolState
	// Rollout configures the load permits.
	Rollout rollout.Config
	// IdleVersionTimeout is the time without a message about a version after
	// which its state is dropped.
	IdleVersionTimeout time.Duration
	// ManifestTimeout is the time that an agent has to fetch a manifest from
	// the origin before another agent is sent there.
	ManifestTimeout time.Duration
	// PeerListInterval is the minimum time between two lists of peers for one
	// agent. A tenth of it applies when more agents have become known.
	PeerListInterval time.Duration
}

func (c *Config) applyDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Seed == 0 {
		c.Seed = c.Clock.Now().UnixNano()
	}
	if c.Log == nil {
		c.Log = eventlog.Discard()
	}
	if c.Policy == nil {
		c.Policy = func(model.Digest) distribute.Policy { return distribute.Policy{} }
	}
	if c.PoolState == nil {
		c.PoolState = func(string) rollout.PoolState { return rollout.PoolState{} }
	}
	if c.IdleVersionTimeout <= 0 {
		c.IdleVersionTimeout = time.Minute
	}
	if c.ManifestTimeout <= 0 {
		c.ManifestTimeout = 2 * time.Second
	}
	if c.PeerListInterval <= 0 {
		c.PeerListInterval = time.Second
	}
}
