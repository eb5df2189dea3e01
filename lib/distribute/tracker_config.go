package distribute

import (
	"math/rand"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

// TrackerConfig holds the settings of a Tracker. Zero values get defaults.
type TrackerConfig struct {
	// Digest and Manifest are the version that is distributed.
	Digest   model.Digest
	Manifest *weights.Manifest
	// Location is the failure domain that the tracker serves.
	Location model.Location
	// Policy divides origin fetches between failure domains.
	Policy Policy
	// Rand breaks ties.
	Rand *rand.Rand

	// UploadSlots bounds the grants that name one agent as source.
	UploadSlots int
	// OriginStreams bounds the origin grants at one time. Few streams deliver
	// whole chunks early, which other agents can then pass on.
	OriginStreams int
	// RemoteStreams bounds the grants at one time that name sources in one
	// other region.
	RemoteStreams int
	// RemoteRate is this failure domain's share of the link from each other
	// region, in bytes per second; 0 means that no limit is set.
	RemoteRate int64
	// InitialGrantTimeout is the lifetime of a grant until transfer times have been
	// observed.
	InitialGrantTimeout time.Duration
	// MinGrantTimeout and MaxGrant bound a grant's lifetime after that.
	MinGrantTimeout, MaxGrantTimeout time.Duration
	// RetryInterval is the time after which an agent announces again at the latest.
	RetryInterval time.Duration
	// AvoidFor is how long a source is avoided: one that sends corrupt chunks by
	// all agents, one whose transfer failed by the agent that reported it.
	AvoidFor time.Duration
	// PeerTimeout is the time without an announcement after which an agent
	// counts as lost.
	PeerTimeout time.Duration
	// SummaryTimeout is the age at which a summary of another failure domain
	// counts as lost.
	SummaryTimeout time.Duration
	// OriginFallbackAfter is the time without any chunk from other failure domains
	// after which the tracker takes the rest from the origin.
	OriginFallbackAfter time.Duration
	// EndgameChunks is the number of last chunks of an agent that may be fetched
	// twice at a time.
	EndgameChunks int
}

func (c *TrackerConfig) applyDefaults() {
	defaultTo(&c.UploadSlots, 6)
	defaultTo(&c.OriginStreams, 3)
	defaultTo(&c.RemoteStreams, 4)
	defaultTo(&c.InitialGrantTimeout, 5*time.Second)
	defaultTo(&c.MinGrantTimeout, time.Second)
	defaultTo(&c.MaxGrantTimeout, time.Minute)
	defaultTo(&c.RetryInterval, 250*time.Millisecond)
	defaultTo(&c.AvoidFor, 10*time.Second)
	defaultTo(&c.PeerTimeout, 3*time.Second)
	defaultTo(&c.SummaryTimeout, 3*time.Second)
	defaultTo(&c.OriginFallbackAfter, 6*time.Second)
	defaultTo(&c.EndgameChunks, 4)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewSource(1))
	}
	if len(c.Policy.Domains) == 0 {
		c.Policy.Domains = []model.Location{c.Location}
	}
	defaultTo(&c.Policy.Copies, len(c.Policy.Domains))
}

// defaultTo sets a value that was left at zero.
func defaultTo[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}
