package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// subscribeInterval is how often the agents are asked for load reports.
	subscribeInterval = time.Second
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 1200
	// reorderWindow is the number of messages by which one may be overtaken; a
	// larger step back means that the sender has restarted.
	reorderWindow = 50
)

// PeerLink exchanges datagrams with the agents of model engines and with the other
// entries of the region. Agents report the load of their engines and name the
// entries of the region; two of these place the requests of all.
type PeerLink struct {
	gateway *Gateway
	name    string
	region  string
	self    netip.AddrPort
	conn    *net.UDPConn
	// wake makes Run announce targets at once.
	wake chan struct{}
	// sequences are the newest messages by sender; they belong to the receiving
	// goroutine.
	sequences map[string]uint64
	queries   *queries
	// learned is closed once agents have had the time to tell which contents end
	// backend servers.
	learned   chan struct{}
	learnOnce sync.Once
	// placer is the first entry that places requests; it belongs to Run.
	placer netip.AddrPort

	// mu guards what follows.
	mu       sync.Mutex
	members  *members
	sequence uint64
}

// NewPeerLink listens on an IP address and port. Agents and other entries listen on
// the same port. start differs between the starts of this entry.
func NewPeerLink(g *Gateway, name, region, address string, port int, start uint64) (*PeerLink, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(address), Port: port})
	if err != nil {
		return nil, err
	}
	self := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	l := &PeerLink{
		gateway: g, name: name, region: region, conn: conn, self: self,
		sequences: make(map[string]uint64), members: newMembers(self),
		queries: newQueries(start), wake: make(chan struct{}, 1), learned: make(chan struct{}),
	}
	g.loads = l
	return l, nil
}

// announceTargets makes Run announce targets at once.
func (l *PeerLink) announceTargets() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run asks for reports and takes them until ctx ends.
func (l *PeerLink) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	// The function does not run if this goroutine is the first to see the end of ctx.
	defer func() {
		stop()
		_ = l.conn.Close()
	}()
	go l.receive(ctx)
	ticker := time.NewTicker(subscribeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.subscribe()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-l.wake:
			// Several changes often come together.
			time.Sleep(announcePause)
		}
	}
}

// subscribe asks the agents for reports and announces what they must serve.
func (l *PeerLink) subscribe() {
	table := l.gateway.table.Load()
	if table == nil {
		return
	}
	l.gateway.expireGranted()
	l.notePlacer()
	l.repeatNews(table)
	places := l.places()
	targets := l.gateway.targets(table)
	asks := make(map[string][]byte)
	engines := l.gateway.engines(table, l.name, places)
	l.awaitAgents(len(engines))
	for _, engine := range engines {
		ask := asks[engine.service]
		if ask == nil {
			ask = encode(&peerlink.Datagram{Subscription: &peerlink.Subscription{
				Entry: l.name, Region: l.region, Incarnation: l.queries.start, EveryChange: places, Draining: l.gateway.draining.Load(), Target: targets[engine.service],
			}})
			asks[engine.service] = ask
		}
		l.send(ask, netip.AddrPortFrom(engine.host, l.self.Port()))
	}
}

// notePlacer logs when another entry becomes the first one to place requests.
func (l *PeerLink) notePlacer() {
	ranked := l.Rank(placing)
	if ranked[0] == l.placer {
		return
	}
	l.placer = ranked[0]
	l.gateway.config.Log.Log(eventlog.PlacerChanged, "entry", l.placer, "self", l.placer == l.self, "members", len(ranked))
}

func encode(d *peerlink.Datagram) []byte {
	data, err := msgpack.Marshal(d)
	if err != nil {
		panic(err)
	}
	return data
}

// send sends a datagram. A lost one is replaced by the next one.
func (l *PeerLink) send(data []byte, to netip.AddrPort) { _, _ = l.conn.WriteToUDPAddrPort(data, to) }

// tellUsage tells an engine's agent what this entry has placed there.
func (l *PeerLink) tellUsage(server string, u placement.Usage) {
	address, err := netip.ParseAddrPort(server)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.sequence++
	sequence := l.sequence
	l.mu.Unlock()
	l.send(encode(&peerlink.Datagram{EntryLoad: &peerlink.EntryLoad{
		Entry: l.name, PrefillTokens: u.PrefillTokens, Sequence: sequence,
	}}), netip.AddrPortFrom(address.Addr(), l.self.Port()))
}

func (l *PeerLink) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(subscribeInterval):
			}
			continue
		}
		var d peerlink.Datagram
		if msgstream.Unmarshal(buf[:n], &d) == nil {
			l.take(&d, from)
		}
	}
}

func (l *PeerLink) take(d *peerlink.Datagram, from netip.AddrPort) {
	switch {
	case d.Status != nil && l.newest(d.Status.Address, d.Status.Sequence):
		l.learn()
		l.learnMembers(d.Status)
		l.gateway.takeStatus(*d.Status)
	case d.PlacementRequest != nil:
		l.answer(d.PlacementRequest, from)
	case d.PlacementNotice != nil:
		l.takeNotice(d.PlacementNotice)
	case d.PlacementResponse != nil:
		l.queries.answered(d.PlacementResponse)
	case d.Gossip != nil:
		l.takeNews(d.Gossip)
	}
}

// newest reports whether a message is newer than those seen: datagrams may
// overtake each other.
func (l *PeerLink) newest(sender string, sequence uint64) bool {
	if last := l.sequences[sender]; sequence <= last && last-sequence < reorderWindow {
		return false
	}
	l.sequences[sender] = sequence
	return true
}

// learnMembers takes the entries of this region that an agent names. The slack of
// the retry budget is divided evenly between regions, and within a region between
// its entries, so that the shares of all add up to it.
func (l *PeerLink) learnMembers(status *peerlink.Status) {
	if status.Region != l.region || len(status.Neighbours) == 0 {
		return
	}
	l.mu.Lock()
	l.members.learn(status.Neighbours, l.gateway.now())
	count := l.members.count()
	l.mu.Unlock()
	l.gateway.SetEntries(count * l.gateway.regions())
}

// Rank returns the entries of the region that serve, this one among them, in an
// order for a duty on which all of them agree. It is safe for concurrent use. The
// slice must not be changed.
func (l *PeerLink) Rank(duty string) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members.rank(duty, l.gateway.now())
}

// Self returns the address of this entry in a rank.
func (l *PeerLink) Self() netip.AddrPort { return l.self }
