package agent

import (
	"context"
	"math/rand"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/listen"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// defaultCacheInterval limits cache updates to 1.4 KB/s at an entry with 60 agents.
// The entry's limit for control traffic is 8 KB/s, of which heartbeats use 4.6 KB/s.
const defaultCacheInterval = 3 * time.Second

// defaultMaxEventBytes is for four events of the largest size.
const defaultMaxEventBytes = 16 << 20

// Config configures an Agent.
type Config struct {
	Identity model.Identity
	Pool     string
	Clock    clock.Clock
	Rand     *rand.Rand
	Log      *eventlog.Logger
	// Metrics receives the measurements of transfers. If nil, they are discarded.
	Metrics Metrics
	// Listener accepts connections from entries and from other agents.
	Listener net.Listener
	// Dial opens connections to peers. If nil, listen.Dial is used; tests set Dial to
	// inject faults.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Policy determines which peers may connect in which role. If nil, connections are
	// plain text.
	Policy *security.Policy

	// BackendKind and BackendURL describe the backend server.
	BackendKind settings.BackendKind
	BackendURL  string
	// Capacity is the maximum number of concurrent requests.
	Capacity int

	// Table stores the fencing epoch counter of the instance. If nil, the agent derives
	// its epoch from the one that the engine reports.
	Table backing.TableService

	// Origin and WeightStore are the sources of weights. WeightStore is optional.
	Origin, WeightStore backing.WeightSource
	// StagingDir is the directory from which the engine loads weights.
	StagingDir string
	// StagingBytes is the maximum size of the staged chunks in bytes.
	StagingBytes int64
	// LinkRate is the instance's link rate in bytes per second; 0 means unlimited.
	LinkRate    float64
	UploadSlots int
	Downloader  distribute.DownloaderConfig
	Gate        gate.Config
	// MaxEventBytes limits the memory of long events of all streams of a model engine, in
	// bytes; 0 means 16 MiB.
	MaxEventBytes int64

	// CacheInterval is the interval at which the engine's cache events are read, and
	// the minimum time between two cache updates on a connection. 0 means the default;
	// if negative, the agent sends no cache updates.
	CacheInterval time.Duration

	// Backend configures the state machine that manages the instance's weights.
	Backend backend.Config
}

func (c Config) applyDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = noMetrics{}
	}
	if c.Gate.Capacity == 0 {
		c.Gate.Capacity = c.Capacity
	}
	if c.Metrics == nil {
		c.Metrics = noMetrics{}
	}
	if c.MaxEventBytes <= 0 {
		c.MaxEventBytes = defaultMaxEventBytes
	}
	if c.CacheInterval == 0 {
		c.CacheInterval = defaultCacheInterval
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return listen.Dial(ctx, c.Policy, address)
		}
	}
	return c
}
