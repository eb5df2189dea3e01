package gateway

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// subscribeInterval is how often subscriptions to load reports are renewed, unless
	// subscriptionPace allows a longer interval.
	subscribeInterval = time.Second
	// maxDatagramBytes is the maximum size of a datagram in bytes.
	maxDatagramBytes = 1200
)

// PeerLink exchanges datagrams with the agents of model engines and with the other
// entries of the region. Agents report the load of their engines and name the
// entries of the region. The first two entries in rank order are placers: they place
// the requests of all entries of the region, the second one if the first one doesn't.
type PeerLink struct {
	gateway *Gateway
	name    string
	region  string
	self    netip.AddrPort
	conn    *net.UDPConn
	// wake makes Run renew the subscriptions, and with them the announced targets, at
	// once.
	wake chan struct{}
	// arrivals bounds the age of datagrams. Only the receiving goroutine uses it.
	arrivals arrivals
	// sequences holds the newest report by agent. Only the receiving goroutine uses it.
	sequences  map[string]*peerlink.SenderSequence
	placements *pendingPlacements
	// isCutOff reports peers that are sent no datagrams; nil if there are none.
	isCutOff func(netip.AddrPort) bool
	// warm is closed once agents have had time to report which contents crash backend
	// servers.
	warm     chan struct{}
	warmOnce sync.Once
	// placer is the first placer in rank order. Only Run uses it.
	placer netip.AddrPort

	// subscribedAt is when all subscriptions were last renewed. Only Run uses it.
	subscribedAt time.Time
	pace         *subscriptionPace

	// mu guards members, loads and sequence.
	mu       sync.Mutex
	members  *members
	loads    *entryLoads
	sequence uint64
}

// NewPeerLink listens on an IP address and UDP port and attaches the link to the
// gateway. Agents and other entries listen on the same port. incarnation differs
// between the process starts of this entry.
func NewPeerLink(g *Gateway, name, region, address string, port int, incarnation uint64) (*PeerLink, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(address), Port: port})
	if err != nil {
		return nil, err
	}
	self := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	l := &PeerLink{
		gateway: g, name: name, region: region, conn: conn, self: self,
		sequences: make(map[string]*peerlink.SenderSequence), members: newMembers(self),
		placements: newPendingPlacements(incarnation), wake: make(chan struct{}, 1), warm: make(chan struct{}),
		pace: newSubscriptionPace(g.now()), loads: newEntryLoads(),
	}
	g.peerLink = l
	return l, nil
}

// CutOff makes the link send no datagrams to the peers for which isCutOff returns true.
// Tests use it to cut entries off from each other. It must be called before Run.
func (l *PeerLink) CutOff(isCutOff func(peer netip.AddrPort) bool) { l.isCutOff = isCutOff }

// announceTargets makes Run announce the targets at once.
func (l *PeerLink) announceTargets() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run subscribes to load reports and handles datagrams until ctx ends. It closes the
// socket.
func (l *PeerLink) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		<-ctx.Done()
		_ = l.conn.Close()
	})
	running.Go(func() { l.receive(ctx) })
	ticker := time.NewTicker(subscribeInterval)
	defer ticker.Stop()
	atOnce := true
	for ctx.Err() == nil {
		l.subscribe(atOnce)
		select {
		case <-ctx.Done():
		case <-ticker.C:
			atOnce = false
		case <-l.wake:
			// Batch changes that come together.
			time.Sleep(announceDelay)
			atOnce = true
		}
	}
}

// subscribe renews the subscriptions to load reports and announces the targets of
// the engines, if that is due or atOnce is set. It does so always for engines that get no
// requests because no agent has reported their weights.
func (l *PeerLink) subscribe(atOnce bool) {
	table := l.gateway.table.Load()
	if table == nil {
		l.discover()
		return
	}
	l.gateway.expireLeases()
	l.logPlacerChange()
	l.resendGossip(table)
	placer := l.isPlacer()
	targets := l.gateway.weightTargets(table)
	everyChange := l.followsEveryChange()
	subscriptions := make(map[subscriptionKind][]byte)
	engines := l.gateway.subscribedEngines(table, l.name, placer)
	l.scheduleWarmup(len(engines))
	interval := l.subscriptionInterval(placer, len(engines))
	now := l.gateway.now()
	due := atOnce || now.Sub(l.subscribedAt) >= interval-subscribeInterval/2
	if due {
		l.subscribedAt = now
	}
	for _, engine := range engines {
		kind := subscriptionKind{service: engine.service, refresh: l.gateway.unreported(engine.address)}
		if !due && !kind.refresh {
			continue
		}
		subscription := subscriptions[kind]
		if subscription == nil {
			subscription = encode(&peerlink.Datagram{Subscription: &peerlink.Subscription{
				Entry: l.name, Region: l.region, Incarnation: l.placements.incarnation, EveryChange: everyChange, IntervalMillis: interval.Milliseconds(), Draining: l.gateway.Draining(), Target: targets[engine.service], Refresh: kind.refresh,
			}})
			subscriptions[kind] = subscription
		}
		l.send(subscription, netip.AddrPortFrom(engine.agentAddr, l.self.Port()))
	}
}

// subscriptionKind identifies subscriptions that are the same for several engines.
type subscriptionKind struct {
	service string
	refresh bool
}

// logPlacerChange logs that another entry has become the first placer.
func (l *PeerLink) logPlacerChange() {
	ranked := l.Rank(placementDuty)
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

// encodeCompact is like encode, but encodes integers in as few bytes as possible.
func encodeCompact(d *peerlink.Datagram) []byte {
	var buf bytes.Buffer
	encoder := msgpack.NewEncoder(&buf)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(d); err != nil {
		panic(err)
	}
	return buf.Bytes()
}

// send sends a datagram. A lost one is not repeated: later ones replace it.
func (l *PeerLink) send(data []byte, to netip.AddrPort) {
	if l.isCutOff != nil && l.isCutOff(to) {
		return
	}
	_, _ = l.conn.WriteToUDPAddrPort(data, to)
}

// sendUsage reports the requests that this entry has placed on an engine to the
// engine's agent, if that has changed.
func (l *PeerLink) sendUsage(server string, u placement.Usage) {
	address, err := netip.ParseAddrPort(server)
	if err != nil {
		return
	}
	l.mu.Lock()
	if !l.loads.changed(server, u.PrefillTokens, l.gateway.now()) {
		l.mu.Unlock()
		return
	}
	l.sequence++
	sequence := l.sequence
	l.mu.Unlock()
	l.send(encode(&peerlink.Datagram{EntryLoad: &peerlink.EntryLoad{
		Entry: l.name, Incarnation: l.placements.incarnation, PrefillTokens: u.PrefillTokens, Sequence: sequence,
	}}), netip.AddrPortFrom(address.Addr(), l.self.Port()))
}

// sendEngineUsage reports the requests that this entry has placed on a server to its
// agent. Plain services have none.
func (g *Gateway) sendEngineUsage(server *directory.Server, u placement.Usage) {
	service := g.table.Load().Service(server.Service)
	if service != nil && service.Engine != nil {
		g.peerLink.sendUsage(server.Address, u)
	}
}

func (l *PeerLink) receive(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		l.arrivals.await(l.gateway.now())
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		l.arrivals.received(l.gateway.now())
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(subscribeInterval):
			}
			continue
		}
		var d peerlink.Datagram
		if msgstream.Unmarshal(buf[:n], &d) == nil {
			l.handleDatagram(&d, from)
		}
	}
}

func (l *PeerLink) handleDatagram(d *peerlink.Datagram, from netip.AddrPort) {
	switch {
	case d.Status != nil && l.isNewer(d.Status):
		l.markWarm()
		l.recordMembers(d.Status)
		l.gateway.handleStatus(*d.Status, l.arrivals.sentAfter(l.gateway.now()))
		l.confirmVerified(d.Status, from)
		l.acknowledgeReport(d.Status, from)
	case d.PlacementRequest != nil:
		l.handlePlacementRequest(d.PlacementRequest, from)
	case d.PlacementNotice != nil:
		l.handlePlacementNotice(d.PlacementNotice)
	case d.PlacementResponse != nil:
		l.placements.deliver(d.PlacementResponse)
	case d.Gossip != nil:
		l.handleGossip(d.Gossip)
	}
}

// confirmVerified tells an agent that has restarted what it had reported as intact.
func (l *PeerLink) confirmVerified(status *peerlink.Status, agent netip.AddrPort) {
	if l.gateway.verifiedEarlier(status) {
		l.send(encode(&peerlink.Datagram{Verified: &peerlink.Verified{StartUnixMilli: status.StartUnixMilli, OrdersAccepted: status.OrdersAccepted}}), agent)
	}
}

// acknowledgeReport tells an agent, if it asks for that, that this entry uses its engine by
// no earlier report.
func (l *PeerLink) acknowledgeReport(status *peerlink.Status, agent netip.AddrPort) {
	if status.Acknowledge && !status.OpensEngine() {
		l.send(encode(&peerlink.Datagram{ReportAck: &peerlink.ReportAck{
			Incarnation: status.Incarnation, Sequence: status.Sequence, FirstStart: l.gateway.withdrawReports(status),
		}}), agent)
	}
}

// isNewer reports whether a report is newer than those received before: datagrams may
// overtake each other.
func (l *PeerLink) isNewer(status *peerlink.Status) bool {
	s := l.sequences[status.Address]
	if s == nil {
		s = &peerlink.SenderSequence{}
		l.sequences[status.Address] = s
	}
	return s.Advance(status.Incarnation, status.Sequence)
}

// recordMembers records the entries of this region that an agent names, and updates
// this entry's share of the retry budget. The budget's slack is divided evenly
// between regions, and within a region between its entries, so that the shares add
// up to it.
func (l *PeerLink) recordMembers(status *peerlink.Status) {
	if status.Region != l.region {
		return
	}
	l.mu.Lock()
	if len(status.Neighbours) == 0 {
		l.members.heardNone(status.Address)
		l.mu.Unlock()
		return
	}
	l.members.heard = true
	l.members.observe(status.Neighbours, l.gateway.now())
	count := l.members.count()
	l.mu.Unlock()
	l.gateway.SetEntries(count * l.gateway.regionCount())
}

// Rank returns the serving entries of the region, including this one, ranked for a
// duty. Entries that know the same members get the same order. It is safe for
// concurrent use. The slice must not be modified.
func (l *PeerLink) Rank(duty string) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members.rank(duty, l.gateway.now())
}

// Self returns the address of this entry as Rank lists it.
func (l *PeerLink) Self() netip.AddrPort { return l.self }
