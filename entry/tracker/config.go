// Package tracker is the distribution tracker of an entry: it answers agents'
// announcements for any number of versions with assignments, passes manifests
// on, exchanges summaries with other failure domains and gives load permits.
//
// Service is safe for concurrent use: one mutex covers all its state, and
// messages are sent after it is released.
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

// Sender sends to one agent without blocking; *wire.Conn is one.
type Sender interface {
	TrySend(wire.Message) error
}

// Config holds the settings of a Service. Zero values get defaults.
type Config struct {
	Clock clock.Clock
	// Seed makes random ties reproducible; 0 draws one from the clock.
	Seed int64
	Log  *eventlog.Logger
	// Location is the failure domain of the entry.
	Location model.Location
	// Tracker is the template for each version's tracker; Digest, Manifest,
	// Location, Policy and Rand are filled in.
	Tracker distribute.TrackerConfig
	// Policy returns the plan of a version; nil means that each failure domain
	// takes one copy.
	Policy func(manifest model.Digest) distribute.Policy
	// PoolState returns the state of a pool in this failure domain for load permits;
	// nil refuses all permits.
	PoolState func(pool string) rollout.PoolState
	// Rollout holds the settings of load permits.
	Rollout rollout.Config
	// IdleVersionTimeout is the time without an announcement after which the state of
	// a version is dropped.
	IdleVersionTimeout time.Duration
	// ManifestTimeout is how long one agent may take to fetch a manifest from
	// the origin before another one is told to.
	ManifestTimeout time.Duration
	// PeerListInterval is the time between two lists of peers to one agent.
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
