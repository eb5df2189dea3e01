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

// defaultCacheInterval keeps cache updates to 1.4 KB/s at an entry with 60 agents:
// its heartbeats take 4.6 KB/s of the 8 KB/s for control.
const defaultCacheInterval = 3 * time.Second

// Config sets up an Agent.
type Config struct {
	Identity model.Identity
	Pool     string
	Clock    clock.Clock
	Rand     *rand.Rand
	Log      *eventlog.Logger
	// Metrics takes the measurements of transfers; it is optional.
	Metrics Metrics
	// Listener accepts connections of entries and of other agents.
	Listener net.Listener
	// Dial replaces the way in which connections to peers are opened; tests use
	// it to inject faults.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Policy says who may connect in which role; nil means plain text.
	Policy *security.Policy

	// BackendKind and BackendURL describe the backend server.
	BackendKind settings.BackendKind
	BackendURL  string
	// Capacity is the number of requests that run at once.
	Capacity int

	// Table keeps the start counter of the instance's orders; without it the
	// agent counts on from what its engine reports.
	Table backing.TableService

	// Origin and WeightStore are the sources of weights; WeightStore is optional.
	Origin, WeightStore backing.WeightSource
	// StagingDir is the directory from which the engine loads.
	StagingDir   string
	StagingBytes int64
	// LinkRate is the instance's link rate in bytes per second; 0 means
	// unlimited.
	LinkRate    float64
	UploadSlots int
	Downloader  distribute.DownloaderConfig
	Gate        gate.Config

	// CacheInterval is the time between two reads of the engine's cache events,
	// and the least time between two cache updates on a connection. It is negative
	// for an agent that sends none.
	CacheInterval time.Duration

	// Backend holds the settings of the machine of the instance's weights.
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
