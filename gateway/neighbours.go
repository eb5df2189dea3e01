package gateway

import (
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

const (
	// neighbourTime is how long an entry that agents have named counts as a
	// neighbour.
	neighbourTime = 4 * time.Second
	// maxNeighbours bounds the neighbours to which an entry sends its usage, three
	// times for each request: the datagrams of a region would grow with the square of
	// its entries. The agents' reports inform the others within 100 ms.
	maxNeighbours = 16
	// neighbourRefresh is how often the neighbours are chosen anew.
	neighbourRefresh = time.Second
)

// neighbours are the other entries of the region. They are not safe for
// concurrent use.
type neighbours struct {
	// seen is when agents named an entry last.
	seen map[netip.AddrPort]time.Time
	// chosen are those that get the usage, since chosenAt.
	chosen   []netip.AddrPort
	chosenAt time.Time
}

// learn takes entries that an agent names. Addresses that cannot be read name
// nobody.
func (n *neighbours) learn(addresses []string, self netip.AddrPort, now time.Time) {
	for _, text := range addresses {
		if address, err := netip.ParseAddrPort(text); err == nil && address != self {
			n.seen[address] = now
		}
	}
}

// current returns the entries that get the usage of the named entry. The slice must
// not be changed.
func (n *neighbours) current(name string, now time.Time) []netip.AddrPort {
	if now.Sub(n.chosenAt) < neighbourRefresh {
		return n.chosen
	}
	known := make(map[string]netip.AddrPort, len(n.seen))
	texts := make([]string, 0, len(n.seen))
	for address, at := range n.seen {
		if now.Sub(at) > neighbourTime {
			delete(n.seen, address)
			continue
		}
		known[address.String()] = address
		texts = append(texts, address.String())
	}
	n.chosen, n.chosenAt = nil, now
	for _, text := range rendezvous.Rank(name, texts, maxNeighbours) {
		n.chosen = append(n.chosen, known[text])
	}
	return n.chosen
}
