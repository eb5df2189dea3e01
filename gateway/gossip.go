package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

// gossipFanout is the number of agents of each region that are sent gossip. They
// keep it for entries that start later, and those of other regions forward it. The
// second agent covers a lost datagram.
const gossipFanout = 2

// warmupTimeout bounds how long an entry that has just started waits for what agents
// know. It is several round trips between regions.
const warmupTimeout = 100 * time.Millisecond

// scheduleWarmup ends the wait for agents: at once if backend servers are known but
// no engine is among them, otherwise after warmupTimeout.
func (l *PeerLink) scheduleWarmup(engines int) {
	switch {
	case l.isWarm():
	case l.gateway.serverCount() == 0:
	case engines == 0:
		l.markWarm()
	default:
		time.AfterFunc(warmupTimeout, l.markWarm)
	}
}

func (g *Gateway) serverCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Len()
}

// isWarm reports whether the wait for agents is over.
func (l *PeerLink) isWarm() bool {
	select {
	case <-l.warm:
		return true
	default:
		return false
	}
}

func (l *PeerLink) markWarm() { l.warmOnce.Do(func() { close(l.warm) }) }

// awaitWarmup blocks until an entry that has just started has received the contents
// that crash backend servers. The wait is bounded.
func (g *Gateway) awaitWarmup(ctx context.Context) {
	if g.peerLink == nil || g.peerLink.isWarm() || g.serverCount() == 0 {
		return
	}
	select {
	case <-g.peerLink.warm:
	case <-ctx.Done():
	case <-time.After(subscribeInterval):
	}
}

// broadcast sends gossip to the other entries of the region and to some agents of
// each region; nil sends nothing. The caller must not hold mu.
func (g *Gateway) broadcast(gossip *peerlink.Gossip) {
	table := g.table.Load()
	if gossip == nil || gossip.Empty() || g.peerLink == nil || table == nil {
		return
	}
	g.peerLink.sendGossip(gossip, g.peerLink.otherEntries())
	local, remote := g.agents(table)
	g.peerLink.sendGossip(gossip, sample(local, gossipFanout))
	forwarded := &peerlink.Gossip{Suspects: gossip.Suspects, Parts: gossip.Parts, Draining: gossip.Draining, Limits: gossip.Limits, Forward: true}
	for _, agents := range remote {
		g.peerLink.sendGossip(forwarded, sample(agents, gossipFanout))
	}
}

// otherEntries returns the other serving entries of the region.
func (l *PeerLink) otherEntries() []netip.AddrPort {
	var others []netip.AddrPort
	for _, entry := range l.Rank(placementDuty) {
		if entry != l.self {
			others = append(others, entry)
		}
	}
	return others
}

// handleGossip merges gossip from another entry or an agent, and forwards what was
// new if the sender asks for it.
func (l *PeerLink) handleGossip(gossip *peerlink.Gossip) {
	fresh := &peerlink.Gossip{Draining: l.gateway.mergeDraining(gossip.Draining)}
	if len(gossip.Limits) > 0 {
		l.gateway.mu.Lock()
		fresh.Limits = l.gateway.mergeLimits(gossip.Limits)
		l.gateway.mu.Unlock()
	}
	l.gateway.mergeSuspects(gossip, fresh)
	if gossip.Forward && !fresh.Empty() {
		l.sendGossip(fresh, l.otherEntries())
	}
}

// resendGossip repeats the most important gossip to one entry of the region, one of
// its agents and one agent of another region: datagrams may have been lost, and
// entries may have restarted.
func (l *PeerLink) resendGossip(table *serving.Table) {
	gossip := l.gateway.gossipToResend()
	if gossip.Empty() {
		return
	}
	local, remote := l.gateway.agents(table)
	l.sendGossip(gossip, append(sample(l.otherEntries(), 1), sample(local, 1)...))
	if len(remote) > 0 {
		gossip.Forward = true
		l.sendGossip(gossip, sample(remote[rand.IntN(len(remote))], 1))
	}
}

func (l *PeerLink) sendGossip(gossip *peerlink.Gossip, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	for _, data := range gossip.Datagrams(maxDatagramBytes) {
		for _, address := range to {
			l.send(data, address)
		}
	}
}

// agents returns the agents of this entry's region, and those of each other region.
func (g *Gateway) agents(table *serving.Table) (local []netip.AddrPort, remote [][]netip.AddrPort) {
	regions := g.config.Placement.Regions
	byRegion := make(map[string][]netip.AddrPort)
	g.mu.Lock()
	g.directory.ForEach(func(s *directory.Server) {
		service := table.Service(s.Service)
		if service == nil || service.Engine == nil {
			return
		}
		if address, err := netip.ParseAddrPort(s.Address); err == nil {
			region := regions[s.Domain]
			byRegion[region] = append(byRegion[region], netip.AddrPortFrom(address.Addr(), g.peerLink.self.Port()))
		}
	})
	g.mu.Unlock()
	own := regions[g.config.Placement.Domain]
	for region, agents := range byRegion {
		if region != own {
			remote = append(remote, agents)
		}
	}
	return byRegion[own], remote
}

// sample returns up to n random members of a list. It shuffles the list in place.
func sample(list []netip.AddrPort, n int) []netip.AddrPort {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), n)]
}
