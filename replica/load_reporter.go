package replica

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/poison"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// refreshInterval is how often an unchanged status and the list of neighbours
	// are sent, to each subscriber at its own interval. It is the shortest of these;
	// maxSubscriptionInterval is the longest.
	refreshInterval         = time.Second
	maxSubscriptionInterval = 5 * time.Second
	// entryLoadTTL is how long the load that an entry reports counts.
	entryLoadTTL = 4 * time.Second
	// maxDatagramBytes bounds the size of a datagram.
	maxDatagramBytes = 1200
	// ackRetryInterval is the time after which entries are asked again to acknowledge a
	// report while a load waits for that. It is many round trips between regions.
	ackRetryInterval = 100 * time.Millisecond
	// maxNeighbours bounds the neighbour addresses in one report: at 22 bytes each
	// they fit into a datagram with the other fields.
	maxNeighbours = 40
)

// LoadReporter sends the engine's load to the entries that subscribe to it.
type LoadReporter struct {
	replica *Replica
	conn    *net.UDPConn

	mu          sync.Mutex
	subscribers map[netip.AddrPort]subscriber
	// newSubscribers have not received a report yet.
	newSubscribers []netip.AddrPort
	// entryLoads holds the last load message of each entry.
	entryLoads map[string]entryLoad

	// suspects are the suspected contents that entries reported, kept for entries
	// that restart.
	suspects *poison.Monitor
	// suspectParts are the suspected parts of prompts, kept likewise.
	suspectParts *poison.Monitor

	// drainingServers maps servers that entries reported as draining to the time of the
	// last report.
	drainingServers map[peerlink.ServerKey]time.Time

	// limits holds the rate limits of servers that entries reported, kept for entries
	// that restart.
	limits map[peerlink.ServerKey]ratelimit.Limit

	// incarnation distinguishes the process starts of the agent.
	incarnation uint64
	lastStatus  peerlink.Status
	lastRefresh time.Time
	// askedAt is when entries were last asked to acknowledge a report.
	askedAt time.Time
}

// NewLoadReporter opens a UDP socket on the replica's peer port. It returns an
// error if the port cannot be bound.
func NewLoadReporter(r *Replica) (*LoadReporter, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(r.config.Listen), Port: r.config.PeerPort})
	if err != nil {
		return nil, err
	}
	return &LoadReporter{replica: r, conn: conn, incarnation: rand.Uint64(), subscribers: make(map[netip.AddrPort]subscriber), entryLoads: make(map[string]entryLoad), suspects: poison.New(poison.Config{MaxSuspects: maxSuspects}, "", 0), suspectParts: poison.New(poison.Config{MaxSuspects: maxSuspects}, "", 0), drainingServers: make(map[peerlink.ServerKey]time.Time), limits: make(map[peerlink.ServerKey]ratelimit.Limit)}, nil
}

// Run receives messages from entries and sends them reports until ctx ends. When it
// returns, the socket is closed.
func (r *LoadReporter) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		<-ctx.Done()
		_ = r.conn.Close()
	})
	running.Go(func() { r.receive(ctx) })
	for ctx.Err() == nil {
		wait(ctx, r.replica.reporterWake, 2*enginePollInterval)
		r.send(r.recipients())
	}
}

func (r *LoadReporter) receive(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			wait(ctx, nil, retryDelay)
			continue
		}
		var d peerlink.Datagram
		if msgstream.Unmarshal(buf[:n], &d) == nil {
			r.handle(from, &d)
		}
	}
}

func (r *LoadReporter) handle(from netip.AddrPort, d *peerlink.Datagram) {
	if onTarget := r.replica.config.OnTarget; onTarget != nil && d.Subscription != nil && d.Subscription.Target != nil {
		onTarget(d.Subscription.Target)
	}
	now := r.replica.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Subscription != nil {
		r.handleSubscription(now, from, d.Subscription)
	}
	if d.Gossip != nil {
		r.handleGossip(now, d.Gossip)
	}
	if d.Verified != nil {
		r.replica.confirm(d.Verified)
	}
	if d.ReportAck != nil && d.ReportAck.Incarnation == r.incarnation {
		r.replica.acknowledge(from, d.ReportAck)
	}
	if load := d.EntryLoad; load != nil {
		known := r.entryLoads[load.Entry]
		if known.sequence.Advance(load.Incarnation, load.Sequence) {
			r.entryLoads[load.Entry] = entryLoad{receivedAt: now, sequence: known.sequence, prefillTokens: load.PrefillTokens}
		}
	}
}

// handleSubscription records or renews a subscription. An entry that is new, asks for a
// report or for more of them than before, gets one at once. The caller holds mu.
func (r *LoadReporter) handleSubscription(now time.Time, from netip.AddrPort, s *peerlink.Subscription) {
	previous, ok := r.subscribers[from]
	next := subscriber{
		seenAt: now, reportedAt: previous.reportedAt, interval: subscriptionInterval(s),
		region: s.Region, incarnation: s.Incarnation, everyChange: s.EveryChange, draining: s.Draining,
	}
	// A restarted entry process has lost the reports, suspects and draining servers
	// that it had received, even if its address is the same.
	restarted := !ok || previous.incarnation != s.Incarnation
	if restarted || s.Refresh || next.interval < previous.interval || next.everyChange && !previous.everyChange {
		next.reportedAt = time.Time{}
		r.newSubscribers = append(r.newSubscribers, from)
		r.replica.wakeReporter()
	}
	if restarted {
		r.sendInitialGossip(now, from)
	}
	r.subscribers[from] = next
}

// prefillTokens sums the prefill tokens that entries reported. Entries without a
// message within entryLoadTTL don't count.
func (r *LoadReporter) prefillTokens() int {
	now := r.replica.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := 0
	for entry, load := range r.entryLoads {
		if now.Sub(load.receivedAt) > entryLoadTTL {
			delete(r.entryLoads, entry)
			continue
		}
		tokens += load.prefillTokens
	}
	return tokens
}

// recipients returns the entries with a current subscription. It returns each
// new subscriber in added once.
func (r *LoadReporter) recipients() recipients {
	now := r.replica.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	result := recipients{added: r.newSubscribers}
	r.newSubscribers = nil
	for address, s := range r.subscribers {
		if !s.current(now) {
			delete(r.subscribers, address)
			continue
		}
		result.all = append(result.all, address)
		if s.everyChange || s.due(now) {
			result.due = append(result.due, address)
		}
		if s.everyChange {
			result.everyChange = append(result.everyChange, address)
		}
		if s.region == r.replica.config.Region && !s.draining {
			result.neighbours = append(result.neighbours, address.String())
		}
	}
	return result
}

// Entries returns up to two entries of this instance's region that aren't
// draining, in random order. It is safe for concurrent use.
func (r *LoadReporter) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	now := r.replica.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, s := range r.subscribers {
		if s.current(now) && s.region == r.replica.config.Region && !s.draining {
			entries = append(entries, address)
		}
	}
	return entries[:min(len(entries), maxEntries)]
}

// maxEntries bounds the entries that are tried before the store is read
// directly.
const maxEntries = 2

func (r *LoadReporter) send(list recipients) {
	to := list.everyChange
	status := r.status()
	now := r.replica.config.Clock.Now()
	status.Incarnation, status.Sequence = r.incarnation, r.lastStatus.Sequence
	refresh := now.Sub(r.lastRefresh) >= refreshInterval
	urgent := status.Closed != r.lastStatus.Closed || status.Draining != r.lastStatus.Draining || status.Version != r.lastStatus.Version || status.StartUnixMilli != r.lastStatus.StartUnixMilli
	ask := status.Acknowledge && (!r.lastStatus.Acknowledge || r.replica.loadDelayed.Load() && now.Sub(r.askedAt) >= ackRetryInterval)
	switch {
	case urgent, ask:
		to = list.all
	case refresh:
		to = list.due
	case sameStatus(&status, &r.lastStatus):
		to = list.added
	default:
		to = append(to, list.added...)
	}
	if len(to) == 0 {
		return
	}
	status.Sequence++
	r.lastStatus = status
	if status.Acknowledge {
		r.askedAt = now
	}
	if refresh {
		r.lastRefresh = now
	}
	if refresh || len(list.added) > 0 {
		status.Region = r.replica.config.Region
		rand.Shuffle(len(list.neighbours), func(i, j int) { list.neighbours[i], list.neighbours[j] = list.neighbours[j], list.neighbours[i] })
		status.Neighbours = list.neighbours[:min(len(list.neighbours), maxNeighbours)]
	}
	data, err := msgpack.Marshal(&peerlink.Datagram{Status: &status})
	if err != nil {
		panic(err)
	}
	if status.OpensEngine() {
		r.replica.openReports.sent(to, &status, now)
		// An order that was prepared meanwhile did not take this report into account.
		if latest := r.status(); !latest.OpensEngine() || latest.StartUnixMilli != status.StartUnixMilli || latest.Version != status.Version {
			r.replica.wakeReporter()
			return
		}
	}
	for _, address := range to {
		// The next report replaces a lost datagram.
		_, _ = r.conn.WriteToUDPAddrPort(data, address)
	}
	if status.OpensEngine() {
		// This process may have been stopped before it sent them.
		r.replica.openReports.sent(to, &status, r.replica.config.Clock.Now())
	}
	if refresh {
		r.markReported(now, to)
	}
}

// markReported records that subscribers have been sent an unchanged report.
func (r *LoadReporter) markReported(now time.Time, to []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range to {
		if s, ok := r.subscribers[address]; ok {
			s.reportedAt = now
			r.subscribers[address] = s
		}
	}
}

func sameStatus(a, b *peerlink.Status) bool {
	return a.Running == b.Running && a.PrefillTokens == b.PrefillTokens && a.Queued == b.Queued && a.Slowdown == b.Slowdown && a.Closed == b.Closed && a.Draining == b.Draining && a.LinkDelayMicros == b.LinkDelayMicros &&
		a.StartUnixMilli == b.StartUnixMilli && a.OrdersAccepted == b.OrdersAccepted && a.Unverified == b.Unverified && a.Model == b.Model && a.Version == b.Version
}

// status returns the engine's load. An engine that doesn't answer is reported as
// closed.
func (r *LoadReporter) status() peerlink.Status {
	s := peerlink.Status{Address: r.replica.config.EngineAddress}
	state := r.replica.engineState.Load()
	anyOpen := r.replica.openReports.any(r.replica.config.Clock.Now())
	if state == nil {
		s.Closed, s.Acknowledge = true, anyOpen
		return s
	}
	s.AgeMicros = r.replica.config.Clock.Now().Sub(state.readAt).Microseconds()
	s.StartUnixMilli, s.Running, s.Queued, s.Slowdown = state.StartUnixMilli, state.Running, state.Queued, state.Slowdown
	s.PrefillTokens = r.prefillTokens()
	s.LinkDelayMicros = time.Duration(r.replica.linkDelay.Load()).Microseconds()
	s.Draining = state.Draining
	s.OrdersAccepted = state.OrdersAccepted
	s.Unverified = !state.Busy && len(state.Weights) > 0 && !r.replica.trusts(&state.EngineState)
	s.Closed = state.Busy || r.replica.Draining()
	for model, w := range state.Weights {
		if w.Complete {
			s.Model, s.Version = model, w.Version
		}
	}
	s.Acknowledge = !s.OpensEngine() && anyOpen && r.replica.loadDelayed.Load()
	return s
}
