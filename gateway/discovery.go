package gateway

import (
	"net/netip"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
	"github.com/auburnbend/auburnbend/peerlink"
)

// discoveryAgents is the number of agents that are asked for the entries of the region. More
// than one, as a datagram may be lost and an agent may have just started.
const discoveryAgents = 4

// discover asks agents of this region for its entries while this entry has no configuration,
// which it takes from one of them. It subscribes like an entry that is stopping, so that
// agents do not name it to others yet.
func (l *PeerLink) discover() {
	subscription := encode(&peerlink.Datagram{Subscription: &peerlink.Subscription{
		Entry: l.name, Region: l.region, Incarnation: l.placements.incarnation, Draining: true, Refresh: true,
	}})
	agents := rendezvous.Rank(l.name, l.gateway.localAgents(), discoveryAgents)
	l.mu.Lock()
	l.members.asked = len(agents)
	l.mu.Unlock()
	for _, address := range agents {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			l.send(subscription, netip.AddrPortFrom(parsed.Addr(), l.self.Port()))
		}
	}
}

// AwaitsMembers reports whether the other entries of the region may become known soon: no
// agent has named them, some that were asked have not reported, and the list of backend servers has not been read or names engines
// of this region. It is safe for concurrent use.
func (l *PeerLink) AwaitsMembers() bool {
	l.mu.Lock()
	heard := l.members.heard
	l.mu.Unlock()
	return !heard && (!l.gateway.serversRead.Load() || len(l.gateway.localAgents()) > 0)
}

// localAgents returns the addresses of the servers of this entry's region that hold weights:
// an agent runs beside each of them. The configuration, which names the services with
// engines, need not be known.
func (g *Gateway) localAgents() []string {
	regions := g.config.Placement.Regions
	own := regions[g.config.Placement.Domain]
	var agents []string
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.ForEach(func(s *directory.Server) {
		if len(s.Weights) > 0 && regions[s.Domain] == own {
			agents = append(agents, s.Address)
		}
	})
	return agents
}
