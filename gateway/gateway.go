package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/pace"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/versions"
	"github.com/auburnbend/auburnbend/peerlink"
)

// Config configures a Gateway.
type Config struct {
	// Name is the name of this entry, which differs between entries.
	Name    string
	Dialect Dialect
	Clock   clock.Clock
	Log     *eventlog.Logger
	// Observe is called at the end of each request, on the request's goroutine; nil
	// disables it.
	Observe func(Observation)
	Retry   retry.Config
	// Entries is the assumed number of entries that share the retry budget, until
	// SetEntries is called.
	Entries int
	// Seed seeds the random choices.
	Seed uint64
	// Placement configures the choice of backend servers.
	Placement placement.Config
	// MaxRolloutTime is the time after which only a newly declared version of weights
	// may serve.
	MaxRolloutTime time.Duration
	// StartGrace is the time after the start for which older versions may serve if it is
	// not known when the declared one was declared.
	StartGrace time.Duration
	// MaxBufferedBytes bounds the memory of all buffered responses and long events together;
	// zero takes a default of 16 MiB.
	MaxBufferedBytes int64
	// MaxBodyBytes bounds the memory of all long request bodies together; zero takes a
	// default of 44 MiB.
	MaxBodyBytes int64
	// MaxLingering bounds the connections to servers that have responded and not taken the
	// whole request yet; zero takes a default of 64.
	MaxLingering int
}

// defaultMaxBufferedBytes is an eighth of the memory of a small instance.
const defaultMaxBufferedBytes = 16 << 20

// defaultMaxHeldBodies is about a third of the memory of a small instance.
const defaultMaxHeldBodies = 44 << 20

// otherTeamsShare is the part of MaxBodyBytes that the bodies of one team leave to others: an
// eighth.
const otherTeamsShare = 8

// serverShare is the part of MaxBufferedBytes that the responses of one server may take: a
// half, so that a faulty server leaves room for the responses of others.
const serverShare = 2

// Gateway is an http.Handler that serves callers. All methods are safe for
// concurrent use.
type Gateway struct {
	config Config
	table  atomic.Pointer[serving.Table]
	// requestBudget bounds the memory of long request bodies; its holders are teams.
	requestBudget *memory.Budget
	// responseBudget bounds the memory of long responses and long events; its holders are
	// backend servers.
	responseBudget *memory.Budget

	// mu guards the fields down to configAt.
	mu        sync.Mutex
	directory *directory.Directory
	picker    *placement.Picker
	// leases are the leases that this entry has granted to other entries.
	leases   *placement.LeaseTable
	budget   *retry.Budget
	versions *versions.Registry
	// waiting are the attempts whose requests the servers may not have begun.
	waiting map[*attempt]struct{}
	// startedAt is when the Gateway was created.
	startedAt time.Time
	suspects  *suspects
	signals   map[Signal]int64
	// earlyStatuses are the reports on incarnations that are not listed yet.
	earlyStatuses *earlyStatuses
	// subscribed are the engines chosen for subscribedKey.
	subscribed    []engine
	subscribedKey subscribedKey
	// configAt is when the configuration came into force.
	configAt time.Time

	// waitLines holds the requests that wait for a placement.
	waitLines *waitLines

	// lingering holds the exchanges whose servers have responded and not taken the whole request
	// yet.
	lingering *lingeringExchanges

	// peerLink connects to agents and other entries; nil if there is none. It is set
	// before the first request.
	peerLink *PeerLink

	drain        *drain
	openRequests atomic.Int64
	// serversRead is set once the list of backend servers has been read.
	serversRead atomic.Bool
}

var _ http.Handler = (*Gateway)(nil)

// New returns a Gateway without a configuration. It refuses all requests until
// SetConfig is called.
func New(config Config) *Gateway {
	d := directory.New()
	config.Placement.OnEject = func(s *directory.Server, duration time.Duration, cause placement.Result) {
		config.Log.Log(eventlog.ServerEjected, "server", s.ID, "service", s.Service, "address", s.Address, "while_ms", duration.Milliseconds(), "reason", cause)
	}
	config.Placement.OnPace = func(s *directory.Server, cause pace.Cause, limited bool, duration time.Duration) {
		if limited {
			config.Log.Log(eventlog.ServerPaceLimited, "server", s.ID, "born", s.StartUnixMilli, "service", s.Service, "reason", cause)
			return
		}
		config.Log.Log(eventlog.ServerPaceLifted, "server", s.ID, "born", s.StartUnixMilli, "service", s.Service, "reason", cause, "after_ms", duration.Milliseconds())
	}
	config.Placement.OnOverload = func(service string, o admit.Overload) {
		if o.Change == admit.OverloadBegan {
			config.Log.Log(eventlog.OverloadBegan, "service", service)
			return
		}
		config.Log.Log(eventlog.OverloadEnded, "service", service, "lasted_ms", o.Duration.Milliseconds(), "not_admitted", o.NotAdmitted)
	}
	picker := placement.New(config.Placement, d, rand.New(rand.NewPCG(config.Seed, config.Seed)))
	if config.MaxBodyBytes <= 0 {
		config.MaxBodyBytes = defaultMaxHeldBodies
	}
	if config.MaxBufferedBytes <= 0 {
		config.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	return &Gateway{
		config:         config,
		drain:          newDrain(),
		requestBudget:  memory.NewBudget(config.MaxBodyBytes, config.MaxBodyBytes-config.MaxBodyBytes/otherTeamsShare),
		responseBudget: memory.NewBudget(config.MaxBufferedBytes, config.MaxBufferedBytes/serverShare),
		directory:      d,
		picker:         picker,
		leases:         placement.NewLeaseTable(picker),
		budget:         retry.New(config.Retry, config.Entries),
		versions:       versions.NewRegistry(config.MaxRolloutTime),
		waiting:        make(map[*attempt]struct{}),
		startedAt:      config.Clock.Now(),
		suspects:       newSuspects(config.Name, config.Clock.Now()),
		signals:        make(map[Signal]int64),
		earlyStatuses:  newEarlyStatuses(),
		waitLines:      newWaitLines(config.Clock.Now),
		lingering:      newLingeringExchanges(config.MaxLingering, config.Log),
	}
}

// SetConfig puts a configuration in force and reports whether it did: a version that
// is not newer than the current one is ignored, unless it differs and was read in a later
// era of the store: the number was given out again.
func (g *Gateway) SetConfig(c *serving.Config) bool {
	for {
		current := g.table.Load()
		if current != nil && !c.Replaces(current.Config()) {
			return false
		}
		if g.table.CompareAndSwap(current, serving.NewTable(c)) {
			g.mu.Lock()
			g.configAt = g.now()
			g.directory.SetServices(g.table.Load().Config().ServiceNames())
			g.applyEarlyStatuses()
			g.mu.Unlock()
			g.announceTargets()
			return true
		}
	}
}

// Ready reports whether the gateway accepts callers: it has a configuration and is
// not draining.
func (g *Gateway) Ready() bool { return !g.Draining() && g.table.Load() != nil }

// OpenRequests returns the number of requests in progress.
func (g *Gateway) OpenRequests() int { return int(g.openRequests.Load()) }

// SetBounds changes the retry budget and the time after which only a newly declared
// version of weights may serve.
func (g *Gateway) SetBounds(budget retry.Config, maxRolloutTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetConfig(budget)
	g.versions.SetTimeLimit(maxRolloutTime)
	g.updateWaits()
}

// SetEntries sets the number of entries that share the retry budget.
func (g *Gateway) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetEntries(n)
}

// Report records a backend server's load.
func (g *Gateway) Report(key directory.Key, load placement.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.Report(key, load, g.now())
}

// RecordVerified records the weights of an engine that its agent knows to be intact.
func (g *Gateway) RecordVerified(key directory.Key, w placement.VerifiedWeights) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Until = g.now().Add(peerlink.VerifiedTTL)
	g.picker.RecordVerified(key, w)
}

// UpdateServers calls change with the directory of backend servers and the current
// time. change runs under the Gateway's mutex: it must not call the Gateway.
func (g *Gateway) UpdateServers(change func(*directory.Directory, time.Time)) {
	g.mu.Lock()
	change(g.directory, g.now())
	for _, key := range g.directory.TakeDrainedByRow() {
		g.recordDraining(key, directory.SourceRow)
	}
	g.markSuperseded()
	g.applyEarlyStatuses()
	g.picker.ObserveStarts(g.now())
	g.picker.ObserveCold(g.now())
	g.picker.Prune(g.now())
	publish := g.recordUnlistedEnds()
	g.mu.Unlock()
	publish()
	if g.peerLink != nil && !g.peerLink.isWarm() {
		g.announceTargets()
	}
}

// ReplaceServers replaces the list of backend servers. recovered is set if an outage
// of the store has just ended.
func (g *Gateway) ReplaceServers(servers []*directory.Server, recovered bool) {
	g.UpdateServers(func(d *directory.Directory, now time.Time) { d.Replace(servers, recovered, now) })
	g.serversRead.Store(true)
	g.announceTargets()
}

// RestoreServers replaces the list of backend servers by that of a store that was just
// restored from an earlier state. removalTime is the longest time in which the store removes
// the row of a silent server.
func (g *Gateway) RestoreServers(servers []*directory.Server, removalTime time.Duration) {
	g.UpdateServers(func(d *directory.Directory, now time.Time) { d.Restore(servers, removalTime, now) })
	g.announceTargets()
}

// SetEvacuated sets the failure domains whose servers get no requests. It returns those
// that are new, and those that were taken back.
func (g *Gateway) SetEvacuated(domains []string) (evacuated, restored []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.SetEvacuated(domains, g.now())
}

// SetTargetVersion sets the declared version of a model. It was declared maxAge ago at the
// earliest.
func (g *Gateway) SetTargetVersion(model string, version int, maxAge time.Duration) {
	defer g.announceTargets()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versions.Declare(model, version, g.now().Add(-maxAge))
	g.updateWaits()
}

// SetEarlierVersion sets the declared version of a model, of which only is known that it
// was declared before this process has read anything.
func (g *Gateway) SetEarlierVersion(model string, version int) {
	defer g.announceTargets()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versions.DeclareBefore(model, version, g.startedAt.Add(g.config.StartGrace))
	g.updateWaits()
}

// Suspended tells that the machine was suspended for a time that the Gateway's clock has
// not counted.
func (g *Gateway) Suspended(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versions.Elapse(d)
	g.updateWaits()
	g.picker.Elapse(d)
}

func (g *Gateway) now() time.Time { return g.config.Clock.Now() }
