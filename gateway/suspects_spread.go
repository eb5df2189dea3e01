package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/peerlink"
)

// suspectAgents is the number of agents of each region that are told of suspects:
// they keep it for entries that start anew, and those of other regions pass it on.
// The second one covers a lost datagram.
const suspectAgents = 2

// learnTimeout bounds the wait of an entry that has just started for what agents
// know. It is several round trips between regions.
const learnTimeout = 100 * time.Millisecond

// awaitAgents ends the wait for agents: at once if backend servers are known and no
// engine is among them, else after a time.
func (l *Loads) awaitAgents(engines int) {
	select {
	case <-l.learned:
		return
	default:
	}
	switch {
	case l.gateway.knownServers() == 0:
	case engines == 0:
		l.learn()
	default:
		time.AfterFunc(learnTimeout, l.learn)
	}
}

func (g *Gateway) knownServers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Len()
}

func (l *Loads) learn() { l.learnOnce.Do(func() { close(l.learned) }) }

// awaitSuspects lets a request wait until an entry that has just started has heard
// which contents end backend servers.
func (g *Gateway) awaitSuspects(ctx context.Context) {
	if g.loads == nil || g.knownServers() == 0 {
		return
	}
	select {
	case <-g.loads.learned:
	case <-ctx.Done():
	}
}

// spread tells the other entries and some agents of each region what is news about
// suspects. The caller does not hold mu.
func (g *Gateway) spread(update *wire.SuspectUpdate) {
	table := g.table.Load()
	if update == nil || len(update.Suspects) == 0 || g.loads == nil || table == nil {
		return
	}
	g.loads.tellRegion(update)
	near, far := g.suspectAgents(table)
	g.loads.tellSuspects(&peerlink.SuspectNews{Update: *update}, sample(near, suspectAgents))
	for _, agents := range far {
		g.loads.tellSuspects(&peerlink.SuspectNews{Update: *update, Spread: true}, sample(agents, suspectAgents))
	}
}

// tellRegion tells the other entries of the region.
func (l *Loads) tellRegion(update *wire.SuspectUpdate) {
	l.tellSuspects(&peerlink.SuspectNews{Update: *update}, l.others())
}

// others returns the other entries of the region.
func (l *Loads) others() []netip.AddrPort {
	var others []netip.AddrPort
	for _, entry := range l.Rank(placing) {
		if entry != l.self {
			others = append(others, entry)
		}
	}
	return others
}

// takeSuspects takes what another entry or an agent tells.
func (l *Loads) takeSuspects(n *peerlink.SuspectNews) {
	if news := l.gateway.mergeSuspects(&n.Update); news != nil && n.Spread {
		l.tellRegion(news)
	}
}

// repeatSuspects tells one entry of the region, one of its agents and one agent of
// another region what matters most: datagrams may have been lost, and entries may
// have started anew.
func (l *Loads) repeatSuspects(table *serving.Table) {
	update := l.gateway.likelySuspects()
	if update == nil {
		return
	}
	near, far := l.gateway.suspectAgents(table)
	l.tellSuspects(&peerlink.SuspectNews{Update: *update}, append(sample(l.others(), 1), sample(near, 1)...))
	if len(far) > 0 {
		l.tellSuspects(&peerlink.SuspectNews{Update: *update, Spread: true}, sample(far[rand.IntN(len(far))], 1))
	}
}

func (l *Loads) tellSuspects(n *peerlink.SuspectNews, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	for _, data := range n.Datagrams(maxDatagram) {
		for _, address := range to {
			l.send(data, address)
		}
	}
}

// suspectAgents returns the agents of this entry's region, and those of each other
// one.
func (g *Gateway) suspectAgents(table *serving.Table) (near []netip.AddrPort, far [][]netip.AddrPort) {
	regions := g.config.Placement.Regions
	byRegion := make(map[string][]netip.AddrPort)
	g.mu.Lock()
	g.directory.All(func(s *directory.Server) {
		service := table.Service(s.Service)
		if service == nil || service.Engine == nil {
			return
		}
		if address, err := netip.ParseAddrPort(s.Address); err == nil {
			region := regions[s.Domain]
			byRegion[region] = append(byRegion[region], netip.AddrPortFrom(address.Addr(), g.loads.self.Port()))
		}
	})
	g.mu.Unlock()
	own := regions[g.config.Placement.Domain]
	for region, agents := range byRegion {
		if region != own {
			far = append(far, agents)
		}
	}
	return byRegion[own], far
}

// sample returns up to n members of a list in random order, which it changes.
func sample(list []netip.AddrPort, n int) []netip.AddrPort {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), n)]
}
