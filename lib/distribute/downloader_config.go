package distribute

import (
	"math/rand"
	"time"
)

// DownloaderConfig holds the settings of a Downloader. Zero values get defaults.
type DownloaderConfig struct {
	// Self is the peer address of the instance.
	Self string
	// Rand draws jitter and breaks ties.
	Rand *rand.Rand
	// Window is the number of chunks that are fetched at one time. It bounds
	// memory together with the chunk size.
	Window int
	// QueueDepth is the number of assignments that wait for a free place in the
	// window, so that a place is not empty while the tracker is asked.
	QueueDepth int
	// MinAnnounceInterval bounds the frequency of announcements.
	MinAnnounceInterval time.Duration
	// HeartbeatInterval is the time after which an announcement is repeated although
	// nothing has changed.
	HeartbeatInterval time.Duration
	// TrackerTimeout is the time without an answer of the tracker after which
	// peers are used directly. It is several announcements long.
	TrackerTimeout time.Duration
	// MinStallTimeout is the lower bound of the progress deadline, and MaxStall the
	// deadline until a rate has been observed.
	MinStallTimeout, MaxStallTimeout time.Duration
	// OriginRankDelay is the wait for each rank in the rendezvous order of a chunk
	// before an agent without a tracker takes the chunk from the origin.
	OriginRankDelay time.Duration
	// TrackerlessCopies is the budget of copies that the agents of a failure domain
	// without a tracker take from the origin together.
	TrackerlessCopies float64
	// TrackerlessAgents is the number of agents that are expected to share the budget
	// while fewer peers are known.
	TrackerlessAgents int
	// TrackerlessRefillTime is the time over which an agent without a tracker regains its
	// share of the budget, so that a lone agent completes in the end.
	TrackerlessRefillTime time.Duration
	// MinBackoff and MaxBackoff bound the wait for a source that throttles.
	MinBackoff, MaxBackoff time.Duration
}

func (c *DownloaderConfig) applyDefaults() {
	defaultTo(&c.Window, 5)
	defaultTo(&c.QueueDepth, 1)
	defaultTo(&c.MinAnnounceInterval, 20*time.Millisecond)
	defaultTo(&c.HeartbeatInterval, time.Second)
	defaultTo(&c.TrackerTimeout, 500*time.Millisecond)
	defaultTo(&c.MinStallTimeout, 400*time.Millisecond)
	defaultTo(&c.MaxStallTimeout, 3*time.Second)
	defaultTo(&c.OriginRankDelay, 2*time.Second)
	defaultTo(&c.TrackerlessCopies, 1.1)
	defaultTo(&c.TrackerlessAgents, 8)
	defaultTo(&c.TrackerlessRefillTime, 2*time.Minute)
	defaultTo(&c.MinBackoff, 200*time.Millisecond)
	defaultTo(&c.MaxBackoff, 10*time.Second)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewSource(1))
	}
}
