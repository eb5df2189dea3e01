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
	// entriesTold is the number of entries of each region that news are passed on to;
	// the second one covers a lost datagram.
	entriesTold = 2
)

// takeSuspects keeps what an entry tells of suspects and passes it on to entries of
// each region. The caller holds mu.
func (b *Beacon) takeSuspects(now time.Time, n *peerlink.SuspectNews) {
	b.suspects.Tick(now)
	b.suspects.Merge(now, n.Update)
	if !n.Spread {
		return
	}
	told := make(map[string]int)
	for address, s := range b.subscribers {
		if now.Sub(s.at) <= subscriptionTime && !s.leaving && told[s.region] < entriesTold {
			told[s.region]++
			b.sendSuspects(n, address)
		}
	}
}

// tellSuspects tells an entry that has just asked for reports which contents are
// likely to end backend servers. The caller holds mu.
func (b *Beacon) tellSuspects(now time.Time, to netip.AddrPort) {
	if likely := b.suspects.Likely(now, likelyCrashes, maxTold); likely != nil {
		b.sendSuspects(&peerlink.SuspectNews{Update: *likely}, to)
	}
}

func (b *Beacon) sendSuspects(n *peerlink.SuspectNews, to netip.AddrPort) {
	for _, data := range n.Datagrams(maxDatagram) {
		// Entries tell each other again and again, so that a lost datagram is replaced.
		_, _ = b.conn.WriteToUDPAddrPort(data, to)
	}
}
