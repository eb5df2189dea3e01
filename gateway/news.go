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

// agentsTold is the number of agents of each region that are told of news: they keep
// it for entries that start anew, and those of other regions pass it on. The second
// one covers a lost datagram.
const agentsTold = 2

// learnTimeout bounds the wait of an entry that has just started for what agents
// know. It is several round trips between regions.
const learnTimeout = 100 * time.Millisecond

// awaitAgents ends the wait for agents: at once if backend servers are known and no
// engine is among them, else after a time.
func (l *PeerLink) awaitAgents(engines int) {
	switch {
	case l.hasLearned():
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

// hasLearned reports whether the wait for agents is over.
func (l *PeerLink) hasLearned() bool {
	select {
	case <-l.learned:
		return true
	default:
		return false
	}
}

func (l *PeerLink) learn() { l.learnOnce.Do(func() { close(l.learned) }) }

// awaitSuspects lets a request wait until an entry that has just started has heard
// which contents end backend servers.
func (g *Gateway) awaitSuspects(ctx context.Context) {
	if g.loads == nil || g.loads.hasLearned() || g.knownServers() == 0 {
		return
	}
	select {
	case <-g.loads.learned:
	case <-ctx.Done():
	case <-time.After(subscribeInterval):
	}
}

// spread tells others what is news about suspects. The caller does not hold mu.
func (g *Gateway) spread(update *wire.SuspectUpdate) {
	if update != nil {
		g.tell(&peerlink.Gossip{Suspects: *update})
	}
}

// tellLeaving tells others that a server leaves. The caller does not hold mu.
func (g *Gateway) tellLeaving(server directory.Key) {
	g.tell(&peerlink.Gossip{Draining: []peerlink.ServerKey{{ID: server.ID, StartUnixMilli: server.StartUnixMilli}}})
}

// tell tells the other entries of the region and some agents of each region.
func (g *Gateway) tell(n *peerlink.Gossip) {
	table := g.table.Load()
	if n.Empty() || g.loads == nil || table == nil {
		return
	}
	g.loads.sendNews(n, g.loads.others())
	near, far := g.agents(table)
	g.loads.sendNews(n, sample(near, agentsTold))
	spread := &peerlink.Gossip{Suspects: n.Suspects, Draining: n.Draining, Forward: true}
	for _, agents := range far {
		g.loads.sendNews(spread, sample(agents, agentsTold))
	}
}

// others returns the other entries of the region.
func (l *PeerLink) others() []netip.AddrPort {
	var others []netip.AddrPort
	for _, entry := range l.Rank(placing) {
		if entry != l.self {
			others = append(others, entry)
		}
	}
	return others
}

// takeNews takes what another entry or an agent tells.
func (l *PeerLink) takeNews(n *peerlink.Gossip) {
	news := &peerlink.Gossip{Draining: l.gateway.mergeLeaving(n.Draining)}
	if suspects := l.gateway.mergeSuspects(&n.Suspects); suspects != nil {
		news.Suspects = *suspects
	}
	if n.Forward && !news.Empty() {
		l.sendNews(news, l.others())
	}
}

// repeatNews tells one entry of the region, one of its agents and one agent of
// another region what matters most: datagrams may have been lost, and entries may
// have started anew.
func (l *PeerLink) repeatNews(table *serving.Table) {
	news := l.gateway.repeatedNews()
	if news.Empty() {
		return
	}
	near, far := l.gateway.agents(table)
	l.sendNews(news, append(sample(l.others(), 1), sample(near, 1)...))
	if len(far) > 0 {
		news.Forward = true
		l.sendNews(news, sample(far[rand.IntN(len(far))], 1))
	}
}

func (l *PeerLink) sendNews(n *peerlink.Gossip, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	for _, data := range n.Datagrams(maxDatagram) {
		for _, address := range to {
			l.send(data, address)
		}
	}
}

// agents returns the agents of this entry's region, and those of each other
// one.
func (g *Gateway) agents(table *serving.Table) (near []netip.AddrPort, far [][]netip.AddrPort) {
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
