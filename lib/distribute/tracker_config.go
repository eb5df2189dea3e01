package distribute

import (
	"math/rand"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

// TrackerConfig configures a Tracker. Zero values are replaced by defaults.
type TrackerConfig struct {
	// Digest and Manifest identify the version to distribute.
	Digest   model.Digest
	Manifest *weights.Manifest
	// Location is the failure domain that the tracker serves.
	Location model.Location
	// Policy divides origin fetches between failure domains.
	Policy Policy
	// Rand is the source of randomness, such as for tie-breaking.
	Rand *rand.Rand

	// UploadSlots is the maximum number of active grants that name one agent as
	// source.
	UploadSlots int
	// OriginStreams is the maximum number of active grants that name the origin
	// as source. With few streams whole chunks arrive early, and other agents
	// can then forward them.
	OriginStreams int
	// RemoteStreams is the maximum number of active grants that name sources in
	// one other region.
	RemoteStreams int
	// RemoteRate is this failure domain's share of the link from each other
	// region, in bytes per second; 0 means unlimited.
	RemoteRate int64
	// InitialGrantTimeout is the lifetime of a grant until transfer times have
	// been observed.
	InitialGrantTimeout time.Duration
	// MinGrantTimeout and MaxGrantTimeout limit the lifetime of a grant after
	// that.
	MinGrantTimeout, MaxGrantTimeout time.Duration
	// RetryInterval is the maximum time between two announcements of an agent.
	RetryInterval time.Duration
	// AvoidFor is how long a source is avoided. A source that sends corrupt
	// chunks is avoided by all agents; a source whose transfer failed is
	// avoided by the agent that reported it, for at most this time.
	AvoidFor time.Duration
	// PeerTimeout is the time without an announcement after which an agent is
	// removed.
	PeerTimeout time.Duration
	// SummaryTimeout is the age at which a summary from another tracker is no
	// longer used.
	SummaryTimeout time.Duration
	// OriginFallbackAfter is the time without a chunk from other failure
	// domains after which the tracker assigns the remaining chunks from the
	// origin.
	OriginFallbackAfter time.Duration
	// EndgameChunks is the maximum number of missing chunks at which an agent
	// may fetch a late chunk from a second source as well.
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

// defaultTo sets *value to def if it has the zero value.
func defaultTo[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}
