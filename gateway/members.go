package gateway

import (
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

const (
	// memberTTL is how long an entry counts as serving after an agent named it.
	memberTTL = 4 * time.Second
	// budgetMemberTTL is how long it counts among the entries that share the retry
	// budget. It is longer because an entry that is cut off for a while continues to
	// retry requests.
	budgetMemberTTL = 30 * time.Second
	// dutyMemory is how long an entry counts as having a duty after it was last the first
	// one in an order. Orders for reading the store are looked at every few seconds.
	dutyMemory = 30 * time.Second
	// rankRefreshInterval is how long a ranking is cached.
	rankRefreshInterval = 250 * time.Millisecond
)

// members tracks the entries of the region, as agents name them. It is not safe for
// concurrent use.
type members struct {
	self netip.AddrPort
	// lastSeen is when agents last named each other entry.
	lastSeen map[netip.AddrPort]time.Time
	// known is set once an agent has named the entries of the region.
	known bool
	// heard is set once an agent of the region has named entries, or all agents that were asked
	// have reported that they know none: one that has just started knows none yet.
	heard bool
	// reportedNone holds the agents that have reported none while this entry knows none, and
	// asked is the number of agents that were asked.
	reportedNone map[string]bool
	asked        int
	// ranked caches the serving members in rank order by key, computed since rankedAt.
	ranked   map[string][]netip.AddrPort
	rankedAt time.Time
	// dutyAt is when this entry was last the first one of several in an order.
	dutyAt time.Time
}

func newMembers(self netip.AddrPort) *members {
	return &members{self: self, lastSeen: make(map[netip.AddrPort]time.Time)}
}

// heardNone records that an agent knows no other entry.
func (m *members) heardNone(agent string) {
	if m.heard {
		return
	}
	if m.reportedNone == nil {
		m.reportedNone = make(map[string]bool)
	}
	m.reportedNone[agent] = true
	m.heard = len(m.reportedNone) >= max(1, m.asked)
}

// observe records the entries that an agent names. Addresses that cannot be parsed
// are ignored.
func (m *members) observe(addresses []string, now time.Time) {
	m.known = true
	for _, s := range addresses {
		address, err := netip.ParseAddrPort(s)
		if err != nil || address == m.self {
			continue
		}
		if _, ok := m.lastSeen[address]; !ok {
			// An entry that starts must not act as if it were alone.
			m.ranked = nil
		}
		m.lastSeen[address] = now
	}
}

// count returns the number of entries that share the region's part of the retry
// budget, including this one.
func (m *members) count() int { return 1 + len(m.lastSeen) }

// rank returns the serving members, including this one, in an order for a key on
// which all members with the same view agree. The slice must not be modified.
func (m *members) rank(key string, now time.Time) []netip.AddrPort {
	if m.ranked == nil || now.Sub(m.rankedAt) >= rankRefreshInterval {
		m.ranked, m.rankedAt = make(map[string][]netip.AddrPort), now
	}
	if m.ranked[key] == nil {
		m.ranked[key] = m.rankServing(key, now)
	}
	if ranked := m.ranked[key]; len(ranked) > 1 && ranked[0] == m.self {
		m.dutyAt = now
	}
	return m.ranked[key]
}

// hasDuty reports whether this entry has lately been the first one of several in an order.
func (m *members) hasDuty(now time.Time) bool {
	return !m.dutyAt.IsZero() && now.Sub(m.dutyAt) <= dutyMemory
}

// rankServing computes the order of rank, and drops members that have expired.
func (m *members) rankServing(key string, now time.Time) []netip.AddrPort {
	addresses := []string{m.self.String()}
	byText := map[string]netip.AddrPort{addresses[0]: m.self}
	for address, at := range m.lastSeen {
		switch age := now.Sub(at); {
		case age > budgetMemberTTL:
			delete(m.lastSeen, address)
		case age <= memberTTL:
			text := address.String()
			byText[text] = address
			addresses = append(addresses, text)
		}
	}
	var ranked []netip.AddrPort
	for _, text := range rendezvous.Rank(key, addresses, len(addresses)) {
		ranked = append(ranked, byText[text])
	}
	return ranked
}
