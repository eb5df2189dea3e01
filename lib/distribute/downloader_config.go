package distribute

import (
	"math/rand"
	"time"
)

// DownloaderConfig configures a Downloader. Zero values are replaced by
// defaults.
type DownloaderConfig struct {
	// Self is the instance's own peer address.
	Self string
	// Rand is the source of jitter and random tie-breaking.
	Rand *rand.Rand
	// Window is the maximum number of concurrent chunk fetches. Together with
	// the chunk size it bounds memory use.
	Window int
	// QueueDepth is the number of assignments to request beyond the window, so
	// that the window stays full while the tracker answers.
	QueueDepth int
	// MinAnnounceInterval is the minimum time between two announcements.
	MinAnnounceInterval time.Duration
	// HeartbeatInterval is the time after which an announcement is repeated
	// without changes.
	HeartbeatInterval time.Duration
	// TrackerTimeout is the time without an answer from the tracker after which
	// chunks are fetched from peers without assignments. It spans several
	// announcements.
	TrackerTimeout time.Duration
	// MinStallTimeout and MaxStallTimeout limit the time without progress after
	// which a fetch is cancelled. MaxStallTimeout also applies until a transfer
	// time has been observed.
	MinStallTimeout, MaxStallTimeout time.Duration
	// OriginRankDelay is the delay per rank in a chunk's rendezvous order
	// before an agent without a tracker fetches the chunk from the origin.
	OriginRankDelay time.Duration
	// TrackerlessCopies is the number of copies of the weights that all agents
	// of a failure domain without a tracker may together fetch from the origin.
	TrackerlessCopies float64
	// TrackerlessAgents is the minimum number of agents that the origin budget
	// is divided by, used while fewer peers are known.
	TrackerlessAgents int
	// TrackerlessRefillTime is the time in which an agent without a tracker
	// regains its full share of the origin budget, so that even a single agent
	// eventually completes.
	TrackerlessRefillTime time.Duration
	// MinBackoff and MaxBackoff limit the backoff after the origin throttles.
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
