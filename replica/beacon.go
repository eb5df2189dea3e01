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
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// beaconRefresh is how often an unchanged load and the list of neighbours are
	// sent.
	beaconRefresh = time.Second
	// subscriptionTime is how long an entry gets reports after it asked; entries
	// ask once a second.
	subscriptionTime = 4 * time.Second
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 1200
	// maxNamed bounds the neighbours that one report names: 22 bytes each fit into
	// a datagram with the rest.
	maxNamed = 40
)

// LoadReporter sends the engine's load to the entries that ask for it.
type LoadReporter struct {
	replica *Replica
	conn    *net.UDPConn

	mu          sync.Mutex
	subscribers map[netip.AddrPort]subscriber
	// added are subscribers that have had no report yet.
	added []netip.AddrPort
	// usages are what entries have at the engine, by entry.
	usages map[string]usage

	// suspects are the contents that entries told of, for those that start anew.
	suspects *poison.Monitor

	// leaving are the servers that entries told of, and when.
	leaving map[peerlink.ServerKey]time.Time

	last   peerlink.Status
	lastAt time.Time
}

// subscriber is an entry that asked for reports.
type subscriber struct {
	at     time.Time
	region string
	// start is the start of the entry.
	start uint64
	// loads tells that it gets each change of the load, leaving that it is about to
	// stop.
	loads, leaving bool
}

// usage is what an entry has at the engine.
type usage struct {
	at            time.Time
	sequence      uint64
	readingTokens int
}

// NewLoadReporter listens for entries on the replica's port.
func NewLoadReporter(r *Replica) (*LoadReporter, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(r.config.Listen), Port: r.config.PeerPort})
	if err != nil {
		return nil, err
	}
	return &LoadReporter{replica: r, conn: conn, subscribers: make(map[netip.AddrPort]subscriber), usages: make(map[string]usage), suspects: poison.New(poison.Config{MaxSuspects: maxSuspects}, "", 0), leaving: make(map[peerlink.ServerKey]time.Time)}, nil
}

// Run serves entries until ctx ends.
func (b *LoadReporter) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = b.conn.Close() })
	// The function does not run if this goroutine is the first to see the end of ctx.
	defer func() {
		stop()
		_ = b.conn.Close()
	}()
	go b.receive(ctx)
	for ctx.Err() == nil {
		wait(ctx, b.replica.observed, 2*engineInterval)
		b.send(b.current())
	}
}

func (b *LoadReporter) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			wait(ctx, nil, retryPause)
			continue
		}
		var d peerlink.Datagram
		if msgstream.Unmarshal(buf[:n], &d) == nil {
			b.take(from, &d)
		}
	}
}

func (b *LoadReporter) take(from netip.AddrPort, d *peerlink.Datagram) {
	if onTarget := b.replica.config.OnTarget; onTarget != nil && d.Subscription != nil && d.Subscription.Target != nil {
		onTarget(d.Subscription.Target)
	}
	now := b.replica.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.Subscription != nil {
		// An entry that has started anew knows nothing, even at the same address.
		if known, ok := b.subscribers[from]; !ok || known.start != d.Subscription.Incarnation {
			b.added = append(b.added, from)
			b.replica.notifyObserved()
			b.tellNews(now, from)
		}
		b.subscribers[from] = subscriber{
			at: now, region: d.Subscription.Region, start: d.Subscription.Incarnation, loads: d.Subscription.EveryChange, leaving: d.Subscription.Draining,
		}
	}
	if d.Gossip != nil {
		b.takeNews(now, d.Gossip)
	}
	if u := d.EntryLoad; u != nil && u.Sequence > b.usages[u.Entry].sequence {
		b.usages[u.Entry] = usage{at: now, sequence: u.Sequence, readingTokens: u.PrefillTokens}
	}
}

// readingTokens sums up what the entries told. Entries that have fallen silent
// do not count.
func (b *LoadReporter) readingTokens() int {
	now := b.replica.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := 0
	for entry, u := range b.usages {
		if now.Sub(u.at) > subscriptionTime {
			delete(b.usages, entry)
			continue
		}
		tokens += u.readingTokens
	}
	return tokens
}

// audience are the entries that get a report.
type audience struct {
	// all get one at each refresh, loads at each change, and added at once.
	all, loads, added []netip.AddrPort
	// neighbours are those of this instance's region that go on serving.
	neighbours []string
}

// current returns the entries whose subscription is not over. Those that are added
// are returned once.
func (b *LoadReporter) current() audience {
	now := b.replica.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	a := audience{added: b.added}
	b.added = nil
	for address, s := range b.subscribers {
		if now.Sub(s.at) > subscriptionTime {
			delete(b.subscribers, address)
			continue
		}
		a.all = append(a.all, address)
		if s.loads {
			a.loads = append(a.loads, address)
		}
		if s.region == b.replica.config.Region && !s.leaving {
			a.neighbours = append(a.neighbours, address.String())
		}
	}
	return a
}

// Entries returns entries of this instance's region that go on serving, in random
// order. It is safe for concurrent use.
func (b *LoadReporter) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	now := b.replica.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for address, s := range b.subscribers {
		if now.Sub(s.at) <= subscriptionTime && s.region == b.replica.config.Region && !s.leaving {
			entries = append(entries, address)
		}
	}
	return entries[:min(len(entries), maxAsked)]
}

// maxAsked bounds the entries that are asked before the store.
const maxAsked = 2

func (b *LoadReporter) send(a audience) {
	to := a.loads
	status := b.status()
	now := b.replica.config.Clock.Now()
	status.Sequence = b.last.Sequence
	refresh := now.Sub(b.lastAt) >= beaconRefresh
	urgent := status.Closed != b.last.Closed || status.Version != b.last.Version || status.StartUnixMilli != b.last.StartUnixMilli
	switch {
	case refresh || urgent:
		to = a.all
	case sameStatus(&status, &b.last):
		to = a.added
	default:
		to = append(to, a.added...)
	}
	if len(to) == 0 {
		return
	}
	status.Sequence++
	b.last = status
	if refresh {
		b.lastAt = now
		status.Region = b.replica.config.Region
		rand.Shuffle(len(a.neighbours), func(i, j int) { a.neighbours[i], a.neighbours[j] = a.neighbours[j], a.neighbours[i] })
		status.Neighbours = a.neighbours[:min(len(a.neighbours), maxNamed)]
	}
	data, err := msgpack.Marshal(&peerlink.Datagram{Status: &status})
	if err != nil {
		panic(err)
	}
	for _, address := range to {
		// A lost datagram is replaced by the next one.
		_, _ = b.conn.WriteToUDPAddrPort(data, address)
	}
}

func sameStatus(a, b *peerlink.Status) bool {
	return a.Running == b.Running && a.PrefillTokens == b.PrefillTokens && a.Queued == b.Queued && a.Slowdown == b.Slowdown && a.Closed == b.Closed &&
		a.StartUnixMilli == b.StartUnixMilli && a.Model == b.Model && a.Version == b.Version
}

// status returns the engine's load. An engine that does not answer is closed.
func (b *LoadReporter) status() peerlink.Status {
	s := peerlink.Status{Address: b.replica.config.EngineAddress}
	report := b.replica.report.Load()
	if report == nil {
		s.Closed = true
		return s
	}
	s.AgeMicros = b.replica.config.Clock.Now().Sub(report.at).Microseconds()
	s.StartUnixMilli, s.Running, s.Queued, s.Slowdown = report.StartUnixMilli, report.Running, report.Queued, report.Slowdown
	s.PrefillTokens = b.readingTokens()
	s.Closed = report.Busy || b.replica.Draining()
	for model, w := range report.Weights {
		if w.Complete {
			s.Model, s.Version = model, w.Version
		}
	}
	return s
}
