package gateway

import (
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

const (
	// memberTime is how long an entry that agents have named counts as serving.
	memberTime = 4 * time.Second
	// countedTime is how long it counts among those that share the retry budget: an
	// entry that is cut off for a while goes on repeating requests.
	countedTime = 30 * time.Second
	// memberRefresh is how often the members are ranked anew.
	memberRefresh = 250 * time.Millisecond
)

// members are the entries of the region, as agents name them. They are not safe
// for concurrent use.
type members struct {
	self netip.AddrPort
	// seen is when agents named an entry last; it does not hold this one.
	seen map[netip.AddrPort]time.Time
	// ranked are the members that serve, in the order of their weight for each key,
	// since rankedAt.
	ranked   map[string][]netip.AddrPort
	rankedAt time.Time
}

func newMembers(self netip.AddrPort) *members {
	return &members{self: self, seen: make(map[netip.AddrPort]time.Time)}
}

// learn takes entries that an agent names. Addresses that cannot be read name
// nobody.
func (m *members) learn(addresses []string, now time.Time) {
	for _, text := range addresses {
		if address, err := netip.ParseAddrPort(text); err == nil && address != m.self {
			m.seen[address] = now
		}
	}
}

// count returns the number of entries that may use the region's share of the
// retry budget.
func (m *members) count() int { return 1 + len(m.seen) }

// rank returns the members, this one among them, in an order for a key on which all
// members with the same view agree. The slice must not be changed.
func (m *members) rank(key string, now time.Time) []netip.AddrPort {
	if now.Sub(m.rankedAt) >= memberRefresh {
		m.ranked, m.rankedAt = make(map[string][]netip.AddrPort), now
	}
	if m.ranked[key] == nil {
		m.ranked[key] = m.serving(key, now)
	}
	return m.ranked[key]
}

func (m *members) serving(key string, now time.Time) []netip.AddrPort {
	texts := []string{m.self.String()}
	known := map[string]netip.AddrPort{texts[0]: m.self}
	for address, at := range m.seen {
		switch age := now.Sub(at); {
		case age > countedTime:
			delete(m.seen, address)
		case age <= memberTime:
			text := address.String()
			known[text] = address
			texts = append(texts, text)
		}
	}
	var ranked []netip.AddrPort
	for _, text := range rendezvous.Rank(key, texts, len(texts)) {
		ranked = append(ranked, known[text])
	}
	return ranked
}
