package gateway

import (
	"maps"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/placement"
)

// State is an entry's view of the deployment, for metrics.
type State struct {
	// ConfigVersion is the version of the configuration, zero for none. ConfigAge is
	// the time since it came into force on this entry.
	ConfigVersion int64
	ConfigAge     time.Duration
	// Servers counts the backend servers by service and condition.
	Servers map[ServerGroup]int
	// ConcurrencyLimited counts, by service, the backend servers whose concurrency is
	// limited because they have just started or recovered.
	ConcurrencyLimited map[string]int
	// Engines counts the engines by model and loaded version.
	Engines map[ModelVersion]int
	// RetriesLeft is the unused part of this entry's retry budget, by service.
	RetriesLeft map[string]float64
	// OpenRequests is the number of requests in progress.
	OpenRequests int
	// Quarantined is the number of contents that are refused because backend servers
	// crashed while they ran them.
	Quarantined int
	// EvacuatedDomains is the number of failure domains whose servers get no requests.
	EvacuatedDomains int
	// GrantedLeases is the number of open leases that this entry has granted to other
	// entries.
	GrantedLeases int
	// Signals counts the drains and pauses that this entry has learned of since its start.
	Signals map[Signal]int64
	// HeldBodies and HeldResponses are the memory that long bodies of requests, and long
	// responses and events, have taken.
	HeldBodies, HeldResponses HeldMemory
	// Admission holds the decisions on ranked requests that this entry has placed, for itself
	// and for others, by service and rank.
	Admission map[string][]admit.RankStats
	// Waiting is the number of requests that wait for a placement.
	Waiting int
	// Lingering is the number of connections to servers that have responded and not taken the
	// whole request yet, LingeringCut that of those that ended before, since the start.
	Lingering    int
	LingeringCut int64
}

// HeldMemory is the state of a memory budget.
type HeldMemory struct {
	// Bytes is the memory that is taken.
	Bytes int64
	// Delayed and Refused count the bodies that have waited for room, and those that have
	// found none, since the start.
	Delayed, Refused int64
}

func heldMemory(b *memory.Budget) HeldMemory {
	return HeldMemory{Bytes: b.Held(), Delayed: b.Delayed(), Refused: b.Refused()}
}

// Signal is a kind of signal of backend servers, and the source from which it was learned,
// as directory.Evidence names it.
type Signal struct {
	Kind   SignalKind
	Source string
}

// SignalKind is the kind of a Signal, as metrics name it.
type SignalKind string

// Kinds of signals.
const (
	SignalDraining SignalKind = "draining"
	SignalPause    SignalKind = "pause"
)

// ServerGroup is the group of servers of one service in one condition.
type ServerGroup struct {
	Service   string
	Condition placement.Condition
}

// ModelVersion is a version of a model.
type ModelVersion struct {
	Model   string
	Version int
}

// State returns the entry's current view.
func (g *Gateway) State() State {
	s := State{
		Servers: make(map[ServerGroup]int), Engines: make(map[ModelVersion]int), RetriesLeft: make(map[string]float64),
		OpenRequests: g.OpenRequests(), Signals: make(map[Signal]int64),
		HeldBodies: heldMemory(g.requestBudget), HeldResponses: heldMemory(g.responseBudget), Waiting: g.waitLines.count(),
	}
	s.Lingering, s.LingeringCut = g.lingering.counts()
	table := g.table.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	maps.Copy(s.Signals, g.signals)
	s.GrantedLeases = g.leases.Len()
	s.ConcurrencyLimited = g.picker.ConcurrencyLimited(now)
	s.Admission = g.picker.GateStats(now)
	s.EvacuatedDomains = len(g.picker.EvacuatedDomains())
	s.Quarantined = len(g.suspects.quarantined)
	if table != nil {
		config := table.Config()
		s.ConfigVersion, s.ConfigAge = config.Version, now.Sub(g.configAt)
		for i := range config.Services {
			name := config.Services[i].Name
			s.RetriesLeft[name] = g.budget.Remaining(name, now)
		}
	}
	g.directory.ForEach(func(server *directory.Server) {
		s.Servers[ServerGroup{server.Service, g.picker.Condition(server, now)}]++
		for model, w := range server.Weights {
			s.Engines[ModelVersion{model, w.Version}]++
		}
	})
	return s
}
