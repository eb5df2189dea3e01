// Package transfer moves weights to and from one instance. It fetches the
// chunks of a version from the origin, the weight store and peers as assigned
// by a tracker, serves verified chunks to peers, and reports progress.
package transfer

import (
	"context"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

// Config configures a Service. Zero values are replaced by defaults.
type Config struct {
	Clock clock.Clock
	// Seed makes jitter and random decisions reproducible; 0 derives a seed
	// from the clock.
	Seed int64
	Log  *eventlog.Logger
	// Identity and Pool are sent in the Hello message of each connection.
	Identity model.Identity
	Pool     string
	// Dial opens a connection to a peer or entry, using TLS where configured.
	// The default is plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Origin is the origin of weights. WeightStore is an optional second source
	// that is tried first, because it is closer and does not count as origin
	// traffic.
	Origin, WeightStore backing.WeightSource
	// Chunks stores the verified chunks; the default keeps them in memory.
	Chunks *weights.Store
	// Downloader is the template of the Downloader's configuration; Self and
	// Rand are filled in.
	Downloader distribute.DownloaderConfig
	// WindowBytes limits the memory for chunks being downloaded, in bytes.
	WindowBytes int64
	// UploadSlots is the maximum number of chunks that are sent at one time.
	UploadSlots int
	// UploadSlotTimeout is how long a peer's request waits for an upload slot
	// before it is refused.
	UploadSlotTimeout time.Duration
	// UploadRate and DownloadRate are the rates of the instance's link in bytes
	// per second; 0 means unlimited.
	UploadRate, DownloadRate float64
	// LinkShare configures the share of the link that transfers use.
	LinkShare distribute.LinkShareConfig
	// TickInterval is the time between two checks of progress and deadlines.
	TickInterval time.Duration
	// DialTimeout is the time limit for opening a connection, for a bitmap
	// query and for the first reply of a tracker that is probed.
	DialTimeout time.Duration
	// TrackerTimeout is the time without a message after which a tracker counts
	// as unreachable.
	TrackerTimeout time.Duration
	// FailbackInterval is the time between attempts to return to a
	// higher-ranked tracker, so that the agents of a failure domain use the
	// same one. It is also the initial wait before a silent entry is tried
	// again.
	FailbackInterval time.Duration
	// MaxSeeds is the maximum number of earlier versions whose chunks are still
	// offered to peers.
	MaxSeeds int
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
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	if c.Chunks == nil {
		c.Chunks = weights.NewStore(weights.StoreConfig{})
	}
	if c.Downloader.Window <= 0 {
		c.Downloader.Window = 5
	}
	if c.WindowBytes <= 0 {
		// Uploads use at most the same amount. Together they stay well below
		// the 256 MB of the process.
		c.WindowBytes = 32 << 20
	}
	if c.UploadSlots <= 0 {
		c.UploadSlots = 12 // trackers of this and of other failure domains assign up to 6 each
	}
	setDefault(&c.UploadSlotTimeout, 100*time.Millisecond)
	setDefault(&c.TickInterval, 20*time.Millisecond)
	setDefault(&c.DialTimeout, time.Second)
	setDefault(&c.TrackerTimeout, 3*time.Second)
	setDefault(&c.FailbackInterval, 5*time.Second)
	if c.MaxSeeds <= 0 {
		c.MaxSeeds = 4
	}
}

// setDefault sets *d to def unless it is positive.
func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
