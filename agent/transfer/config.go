// Package transfer moves weights to and from one instance: it fetches the
// chunks of a version from the origin, the weight store and peers as a tracker
// assigns them, serves verified chunks to peers, and reports progress.
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

// Config holds the settings of a Service. Zero values get defaults.
type Config struct {
	Clock clock.Clock
	// Seed makes jitter reproducible; 0 draws one from the clock.
	Seed int64
	Log  *eventlog.Logger
	// Identity and Pool are sent in Hello.
	Identity model.Identity
	Pool     string
	// Dial opens a connection to a peer or entry, with TLS where configured.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Origin is the origin of weights. WeightStore is an optional second source,
	// which is tried first: it is closer, and its bytes are no origin bytes.
	Origin, WeightStore backing.WeightSource
	// Chunks holds the verified chunks.
	Chunks *weights.Store
	// Downloader is the template for the decisions; Self and Rand are filled in.
	Downloader distribute.DownloaderConfig
	// WindowBytes bounds the chunk bytes in memory for downloads.
	WindowBytes int64
	// UploadSlots bounds the chunks that are sent at one time.
	UploadSlots int
	// UploadSlotTimeout is how long a peer's request waits for an upload slot.
	UploadSlotTimeout time.Duration
	// UploadRate and DownloadRate are the rates of the instance's link in bytes
	// per second; 0 means unlimited.
	UploadRate, DownloadRate float64
	// LinkShare sets the part of the link that transfers use.
	LinkShare distribute.LinkShareConfig
	// TickInterval is the time between looks at progress and deadlines.
	TickInterval time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// TrackerTimeout is the time without a message after which a tracker counts as
	// dead.
	TrackerTimeout time.Duration
	// FailbackInterval is the time between attempts to go back to the tracker that
	// comes first, so that the agents of a failure domain meet at one.
	FailbackInterval time.Duration
	// MaxSeeds is the number of earlier versions that are still offered.
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
		// Half is for downloads; uploads hold as much at most. Both stay well
		// under the 256 MB of a process.
		c.WindowBytes = 32 << 20
	}
	if c.UploadSlots <= 0 {
		c.UploadSlots = 12 // trackers of this and of other failure domains assign 6 each
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

func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
