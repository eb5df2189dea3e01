package replica

import (
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// maxSuspects bounds the contents that an agent remembers for entries.
	maxSuspects = 256
	// likelyCrashes is the number of ended servers from which on a content is told to
	// an entry that has just started; maxTold bounds these contents.
	likelyCrashes = 2
	maxTold       = 20
	// leavingTime is how long a server that leaves is remembered: its row tells it by
	// then, or is gone. maxLeaving bounds these servers.
	leavingTime = time.Minute
	maxLeaving  = 256
	// entriesTold is the number of entries of each region that news are passed on to;
	// the second one covers a lost datagram.
	entriesTold = 2
)

// takeNews keeps what an entry tells of backend servers and passes it on to entries
// of each region. The caller holds mu.
func (b *LoadReporter) takeNews(now time.Time, n *peerlink.Gossip) {
	b.suspects.Tick(now)
	b.suspects.Merge(now, n.Suspects)
	b.keepLeaving(now, n.Draining)
	if !n.Forward {
		return
	}
	told := make(map[string]int)
	for address, s := range b.subscribers {
		if now.Sub(s.at) <= subscriptionTime && !s.leaving && told[s.region] < entriesTold {
			told[s.region]++
			b.sendNews(n, address)
		}
	}
}

func (b *LoadReporter) keepLeaving(now time.Time, servers []peerlink.ServerKey) {
	for server, at := range b.leaving {
		if now.Sub(at) > leavingTime {
			delete(b.leaving, server)
		}
	}
	for _, server := range servers {
		if _, known := b.leaving[server]; !known && len(b.leaving) < maxLeaving {
			b.leaving[server] = now
		}
	}
}

// tellNews tells an entry that has just asked for reports what it should know. The
// caller holds mu.
func (b *LoadReporter) tellNews(now time.Time, to netip.AddrPort) {
	news := &peerlink.Gossip{}
	if likely := b.suspects.TopSuspects(now, likelyCrashes, maxTold); likely != nil {
		news.Suspects = *likely
	}
	for server, at := range b.leaving {
		if now.Sub(at) <= leavingTime {
			news.Draining = append(news.Draining, server)
		}
	}
	if !news.Empty() {
		b.sendNews(news, to)
	}
}

func (b *LoadReporter) sendNews(n *peerlink.Gossip, to netip.AddrPort) {
	for _, data := range n.Datagrams(maxDatagram) {
		// Entries tell each other again and again, so that a lost datagram is replaced.
		_, _ = b.conn.WriteToUDPAddrPort(data, to)
	}
}
