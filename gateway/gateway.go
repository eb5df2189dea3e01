package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/versions"
)

// Config holds what a Gateway needs from its process.
type Config struct {
	Dialect Dialect
	Clock   clock.Clock
	Log     *eventlog.Logger
	// Observe takes the end of each request; nil takes none.
	Observe func(Observation)
	Retry   retry.Config
	// Entries is assumed to be the number of entries that share the retry
	// budget until SetEntries tells more.
	Entries int
	// Seed starts the random choices.
	Seed uint64
	// Placement configures the choice of backend servers.
	Placement placement.Config
	// MaxRolloutTime is the time in which new weights must serve everywhere.
	MaxRolloutTime time.Duration
	// MaxBufferedBytes bounds the memory in bytes of the answers that are read whole; zero
	// takes a default.
	MaxBufferedBytes int64
}

// defaultBodyMemory is an eighth of the memory of a small instance.
const defaultBodyMemory = 16 << 20

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	config Config
	table  atomic.Pointer[serving.Table]
	bodies *upstream.BodyBudget

	// mu guards what follows.
	mu        sync.Mutex
	directory *directory.Directory
	picker    *placement.Picker
	// granted are the places that other entries have got here.
	granted  *placement.LeaseTable
	budget   *retry.Budget
	versions *versions.Registry
	suspects *suspects
	// configAt is when the configuration came into force.
	configAt time.Time

	// loads is the link to agents and other entries; nil if there is none. It is set
	// before the first request.
	loads *PeerLink

	draining atomic.Bool
	open     atomic.Int64
}

var _ http.Handler = (*Gateway)(nil)

// New returns a Gateway without a configuration.
func New(config Config) *Gateway {
	d := directory.New()
	config.Placement.OnEject = func(s *directory.Server, while time.Duration, because placement.Result) {
		config.Log.Log(eventlog.ServerEjected, "server", s.ID, "service", s.Service, "address", s.Address, "while_ms", while.Milliseconds(), "reason", because)
	}
	picker := placement.New(config.Placement, d, rand.New(rand.NewPCG(config.Seed, config.Seed)))
	if config.MaxBufferedBytes <= 0 {
		config.MaxBufferedBytes = defaultBodyMemory
	}
	return &Gateway{
		config:    config,
		bodies:    upstream.NewBodyBudget(config.MaxBufferedBytes),
		directory: d,
		picker:    picker,
		granted:   placement.NewLeaseTable(picker),
		budget:    retry.New(config.Retry, config.Entries),
		versions:  versions.NewRegistry(config.MaxRolloutTime),
		suspects:  newSuspects(),
	}
}

// SetConfig puts a configuration in force. Older ones are ignored.
func (g *Gateway) SetConfig(c *serving.Config) bool {
	for {
		current := g.table.Load()
		if current != nil && c.Version <= current.Config().Version {
			return false
		}
		if g.table.CompareAndSwap(current, serving.NewTable(c)) {
			g.mu.Lock()
			g.configAt = g.now()
			g.mu.Unlock()
			g.announceTargets()
			return true
		}
	}
}

// Ready reports whether the gateway can serve callers.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.table.Load() != nil }

// Drain makes the gateway report that it is not ready. It goes on serving.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Draining reports whether Drain was called. It is safe for concurrent use.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// OpenRequests returns the number of requests that are being served.
func (g *Gateway) OpenRequests() int { return int(g.open.Load()) }

// SetBounds changes the bounds on repeats and the time in which new weights must
// serve everywhere.
func (g *Gateway) SetBounds(r retry.Config, versionTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetConfig(r)
	g.versions.SetTimeLimit(versionTime)
}

// SetEntries sets the number of entries that share the retry budget.
func (g *Gateway) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetEntries(n)
}

// Report takes a backend server's load.
func (g *Gateway) Report(key directory.Key, load placement.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.Report(key, load, g.now())
}

// UpdateServers changes the directory of backend servers.
func (g *Gateway) UpdateServers(change func(*directory.Directory, time.Time)) {
	g.mu.Lock()
	change(g.directory, g.now())
	g.picker.Prune()
	spread := g.endUnlisted()
	g.mu.Unlock()
	spread()
	if g.loads != nil && !g.loads.hasLearned() {
		g.announceTargets()
	}
}

// ReplaceServers takes a full list of backend servers. recovered tells that an
// outage of the store has just ended.
func (g *Gateway) ReplaceServers(servers []*directory.Server, recovered bool) {
	g.UpdateServers(func(d *directory.Directory, now time.Time) { d.Replace(servers, recovered, now) })
	g.announceTargets()
}

// SetWantedVersion takes the version of a model that must serve. fresh tells that it was
// declared just now.
func (g *Gateway) SetWantedVersion(model string, version int, fresh bool) {
	defer g.announceTargets()
	g.mu.Lock()
	defer g.mu.Unlock()
	if fresh {
		g.versions.Declare(model, version, g.now())
		return
	}
	g.versions.DeclareExisting(model, version, g.now())
}

func (g *Gateway) now() time.Time { return g.config.Clock.Now() }
