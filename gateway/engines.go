package gateway

import (
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// maxLocalEngines and maxRemoteEngines bound the engines of this region and of
	// other regions that report to one entry, so that the number of reports does not
	// grow with the square of the fleet.
	maxLocalEngines  = 64
	maxRemoteEngines = 24
	// maxLocalEnginesPlacer is larger, as an entry uses no engine that doesn't report to it
	// and there are two placers in a region, however large it is.
	maxLocalEnginesPlacer = 256
	// maxRemoteEnginesNonPlacer bounds the engines of other regions that report to an
	// entry which places no requests for others. It needs them only if its own region
	// has none.
	maxRemoteEnginesNonPlacer = 2
)

// engine is a model engine whose agent reports to this entry.
type engine struct {
	// address is the IP address and port of the engine, agentAddr the IP address of its agent.
	address   string
	agentAddr netip.Addr
	service   string
}

// subscribedEngines returns the engines whose reports this entry subscribes to:
// those of its own region and some of the others. They are ranked by the entry's
// name, so that all engines report to about the same number of entries. A placer
// needs more engines of other regions. The slice must not be modified.
func (g *Gateway) subscribedEngines(table *serving.Table, name string, placer bool) []engine {
	g.mu.Lock()
	key := subscribedKey{table: table, name: name, placer: placer, generation: g.directory.Generation()}
	if g.subscribedKey == key {
		defer g.mu.Unlock()
		return g.subscribed
	}
	g.mu.Unlock()
	engines := g.chooseEngines(table, name, placer)
	g.mu.Lock()
	defer g.mu.Unlock()
	if key.generation == g.directory.Generation() {
		g.subscribedKey, g.subscribed = key, engines
	}
	return engines
}

// subscribedKey identifies what the choice of engines depends on.
type subscribedKey struct {
	table      *serving.Table
	name       string
	placer     bool
	generation uint64
}

// chooseEngines returns the engines for subscribedEngines.
func (g *Gateway) chooseEngines(table *serving.Table, name string, placer bool) []engine {
	local, remote, services := g.enginesByRegion(table)
	maxLocal, maxRemote := maxLocalEngines, maxRemoteEnginesNonPlacer
	if placer {
		maxLocal, maxRemote = maxLocalEnginesPlacer, maxRemoteEngines
	}
	chosen := append(rendezvous.Rank(name, local, maxLocal), rendezvous.Rank(name, remote, maxRemote)...)
	engines := make([]engine, 0, len(chosen))
	for _, address := range chosen {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			engines = append(engines, engine{address: address, agentAddr: parsed.Addr(), service: services[address]})
		}
	}
	return engines
}

// enginesByRegion returns the addresses of the engines in this entry's region and in
// the others, and the service of each address.
func (g *Gateway) enginesByRegion(table *serving.Table) (local, remote []string, services map[string]string) {
	regions := g.config.Placement.Regions
	own := regions[g.config.Placement.Domain]
	services = make(map[string]string)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.ForEach(func(s *directory.Server) {
		service := table.Service(s.Service)
		if service == nil || service.Engine == nil && len(s.Weights) == 0 || services[s.Address] != "" {
			return
		}
		services[s.Address] = s.Service
		if regions[s.Domain] == own {
			local = append(local, s.Address)
			return
		}
		remote = append(remote, s.Address)
	})
	return local, remote, services
}

// regionCount returns the number of regions of the deployment.
func (g *Gateway) regionCount() int {
	distinct := make(map[string]bool)
	for _, region := range g.config.Placement.Regions {
		distinct[region] = true
	}
	return max(1, len(distinct))
}

// handleStatus applies an agent's report, which was sent after sentAfter, to the engine at
// its address. If the reporting incarnation is not registered there yet, the report is kept
// until it is.
func (g *Gateway) handleStatus(status peerlink.Status, sentAfter time.Time) {
	publish := func() {}
	g.mu.Lock()
	defer func() {
		g.mu.Unlock()
		publish()
	}()
	now := g.now()
	server := g.directory.ByAddress(status.Address)
	if server == nil {
		g.earlyStatuses.add(status, now, sentAfter)
		return
	}
	if status.StartUnixMilli != 0 && server.StartUnixMilli != 0 && status.StartUnixMilli != server.StartUnixMilli {
		if status.StartUnixMilli > server.StartUnixMilli {
			// The directory still lists an earlier incarnation at this address, because
			// the row of the reporting one has not been read yet. The listed incarnation
			// has ended, since a later one reports from its address.
			g.picker.MarkSuperseded(server.Key())
			publish = g.recordServerEnd(server.Key(), signAddressReused)
			g.earlyStatuses.add(status, now, sentAfter)
		}
		return
	}
	if status.StartUnixMilli != 0 {
		publish = g.recordAlive(server.Key(), now.Add(-time.Duration(status.AgeMicros)*time.Microsecond))
	}
	g.applyStatus(server, &status, now, sentAfter)
}

// applyStatus applies a report to the listed incarnation that it is about. The caller
// holds mu.
func (g *Gateway) applyStatus(server *directory.Server, status *peerlink.Status, receivedAt, sentAfter time.Time) {
	if status.Model != "" && server.Weights[status.Model].Version < status.Version {
		g.updateWeights(server, status.Model, status.Version)
	}
	g.picker.Report(server.Key(), placement.Load{
		Running: status.Running, Queued: status.Queued, PrefillTokens: status.PrefillTokens,
		Age: time.Duration(status.AgeMicros) * time.Microsecond, Slowdown: status.Slowdown, Closed: status.Closed,
		LinkDelay: time.Duration(status.LinkDelayMicros) * time.Microsecond,
	}, receivedAt)
	if status.OpensEngine() {
		g.picker.RecordVerified(server.Key(), placement.VerifiedWeights{Model: status.Model, Version: status.Version, OrdersAccepted: status.OrdersAccepted, Until: sentAfter.Add(peerlink.VerifiedTTL)})
	}
	if key := server.Key(); status.Draining && key.StartUnixMilli != 0 && status.StartUnixMilli == key.StartUnixMilli && g.directory.MarkDraining(key, directory.SourceAgent, receivedAt) {
		g.recordDraining(key, directory.SourceAgent)
	}
}

// unreported reports whether the engine listed at an address has weights and no report that
// they are intact counts.
func (g *Gateway) unreported(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	server := g.directory.ByAddress(address)
	return server != nil && len(server.Weights) > 0 && !g.now().Before(g.picker.Verified(server.Key()).Until)
}

// verifiedEarlier reports whether an agent that does not know whether its engine holds intact
// weights, as it has just started, had reported these as intact.
func (g *Gateway) verifiedEarlier(status *peerlink.Status) bool {
	if !status.Unverified || status.StartUnixMilli == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	server := g.directory.ByAddress(status.Address)
	if server == nil || server.StartUnixMilli != status.StartUnixMilli {
		return false
	}
	verified := g.picker.Verified(server.Key())
	return verified.Model != "" && verified.OrdersAccepted == status.OrdersAccepted
}

// withdrawReports makes this entry use the engine at the address of a report by no report
// before it, also if its row is read only later. It returns the start that the report is
// about if that is known to be the first one under its ID, or zero.
func (g *Gateway) withdrawReports(status *peerlink.Status) (firstStart int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.earlyStatuses.withdraw(status)
	g.picker.WithdrawVerifiedAt(status.Address)
	server := g.directory.ByAddress(status.Address)
	if server == nil || server.StartUnixMilli != status.StartUnixMilli || !g.directory.FirstStart(server.Key(), peerlink.VerifiedTTL, g.now()) {
		return 0
	}
	return status.StartUnixMilli
}

// updateWeights records that a listed engine serves a newer version than its row
// states, and returns the new listing. The caller holds mu.
func (g *Gateway) updateWeights(server *directory.Server, model string, version int) *directory.Server {
	updated := *server
	updated.Weights = map[string]directory.Weights{model: {Version: version, Complete: true}}
	g.directory.Update(&updated)
	return &updated
}
