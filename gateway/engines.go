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
	// maxNearEngines and maxFarEngines bound the engines that report to one entry,
	// so that reports do not grow with the square of the fleet.
	maxNearEngines = 64
	maxFarEngines  = 24
	// maxFarUnplaced bounds the engines of other regions that an entry asks which
	// places no requests of others: it needs them if its own region has none.
	maxFarUnplaced = 2
)

// engine is a model engine whose agent reports to this entry.
type engine struct {
	host    netip.Addr
	service string
}

// engines returns the engines that this entry asks for reports: those of its
// region and some of the others, chosen by its name so that all engines have
// about the same number of entries. An entry that places requests needs more of
// the others.
func (g *Gateway) engines(table *serving.Table, name string, places bool) []engine {
	near, far, services := g.engineAddresses(table)
	distant := maxFarUnplaced
	if places {
		distant = maxFarEngines
	}
	chosen := append(rendezvous.Rank(name, near, maxNearEngines), rendezvous.Rank(name, far, distant)...)
	engines := make([]engine, 0, len(chosen))
	for _, address := range chosen {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			engines = append(engines, engine{host: parsed.Addr(), service: services[address]})
		}
	}
	return engines
}

// engineAddresses returns the addresses of the engines of this entry's region
// and of the others, and the service of each.
func (g *Gateway) engineAddresses(table *serving.Table) (near, far []string, services map[string]string) {
	regions := g.config.Placement.Regions
	own := regions[g.config.Placement.Domain]
	services = make(map[string]string)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.ForEach(func(s *directory.Server) {
		service := table.Service(s.Service)
		if service == nil || service.Engine == nil || services[s.Address] != "" {
			return
		}
		services[s.Address] = s.Service
		if regions[s.Domain] == own {
			near = append(near, s.Address)
			return
		}
		far = append(far, s.Address)
	})
	return near, far, services
}

// regions returns the number of regions of the deployment.
func (g *Gateway) regions() int {
	distinct := make(map[string]bool)
	for _, region := range g.config.Placement.Regions {
		distinct[region] = true
	}
	return max(1, len(distinct))
}

// takeStatus takes an agent's report on the engine at its address. It applies
// to the server that is registered there with the same start.
func (g *Gateway) takeStatus(status peerlink.Status) {
	spread := func() {}
	g.mu.Lock()
	defer func() {
		g.mu.Unlock()
		spread()
	}()
	now := g.now()
	server := g.directory.ByAddress(status.Address)
	if server == nil {
		return
	}
	if status.StartUnixMilli != 0 && server.StartUnixMilli != 0 && status.StartUnixMilli != server.StartUnixMilli {
		if status.StartUnixMilli > server.StartUnixMilli {
			// The row of the later start is on its way; the listed one has ended.
			g.picker.MarkSuperseded(server.Key())
			spread = g.ended(server.Key(), endedLaterStart)
		}
		return
	}
	if status.StartUnixMilli != 0 {
		spread = g.alive(server.Key(), now.Add(-time.Duration(status.AgeMicros)*time.Microsecond))
	}
	if status.Model != "" && server.Weights[status.Model].Version < status.Version {
		g.amendWeights(server, status.Model, status.Version)
	}
	g.picker.Report(server.Key(), placement.Load{
		Running: status.Running, Queued: status.Queued, PrefillTokens: status.PrefillTokens,
		Age: time.Duration(status.AgeMicros) * time.Microsecond, Slowdown: status.Slowdown, Closed: status.Closed,
	}, now)
}

// amendWeights takes note that a listed engine serves a newer version than its row
// tells. The caller holds mu. It returns the new listing.
func (g *Gateway) amendWeights(server *directory.Server, model string, version int) *directory.Server {
	updated := *server
	updated.Weights = map[string]directory.Weights{model: {Version: version, Complete: true}}
	g.directory.Update(&updated)
	return &updated
}
