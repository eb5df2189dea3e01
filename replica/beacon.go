package replica

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// beaconRefresh is how often an unchanged load is sent.
	beaconRefresh = time.Second
	// subscriptionTime is how long an entry gets reports after it asked; entries
	// ask once a second.
	subscriptionTime = 4 * time.Second
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 1200
)

// Beacon sends the engine's load to the entries that ask for it.
type Beacon struct {
	replica *Replica
	conn    *net.UDPConn

	mu          sync.Mutex
	subscribers map[netip.AddrPort]time.Time

	last   peerlink.Status
	lastAt time.Time
}

// NewBeacon listens for entries on the replica's port.
func NewBeacon(r *Replica) (*Beacon, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(r.config.Listen), Port: r.config.PeerPort})
	if err != nil {
		return nil, err
	}
	return &Beacon{replica: r, conn: conn, subscribers: make(map[netip.AddrPort]time.Time)}, nil
}

// Run serves entries until ctx ends.
func (b *Beacon) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = b.conn.Close() })
	defer stop()
	go b.receive(ctx)
	for ctx.Err() == nil {
		wait(ctx, nil, engineInterval)
		if to := b.current(); len(to) > 0 {
			b.send(to)
		}
	}
}

func (b *Beacon) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			wait(ctx, nil, retryPause)
			continue
		}
		var s peerlink.Subscription
		if msgpack.Unmarshal(buf[:n], &s) != nil {
			continue
		}
		b.mu.Lock()
		b.subscribers[from] = b.replica.config.Clock.Now()
		b.mu.Unlock()
	}
}

// current returns the subscribers whose time is not over.
func (b *Beacon) current() []netip.AddrPort {
	now := b.replica.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(b.subscribers))
	for address, at := range b.subscribers {
		if now.Sub(at) > subscriptionTime {
			delete(b.subscribers, address)
			continue
		}
		list = append(list, address)
	}
	return list
}

func (b *Beacon) send(to []netip.AddrPort) {
	status := b.status()
	status.Entries = len(to)
	now := b.replica.config.Clock.Now()
	status.Sequence = b.last.Sequence
	if status == b.last && now.Sub(b.lastAt) < beaconRefresh {
		return
	}
	status.Sequence++
	b.last, b.lastAt = status, now
	data, err := msgpack.Marshal(&status)
	if err != nil {
		panic(err)
	}
	for _, address := range to {
		// A lost datagram is replaced by the next one.
		_, _ = b.conn.WriteToUDPAddrPort(data, address)
	}
}

// status returns the engine's load. An engine that does not answer is closed.
func (b *Beacon) status() peerlink.Status {
	s := peerlink.Status{Address: b.replica.config.Self}
	report := b.replica.report.Load()
	if report == nil {
		s.Closed = true
		return s
	}
	s.Born, s.Running, s.Waiting, s.Pace = report.Born, report.Running, report.Waiting, report.Pace
	s.Closed = report.Busy || b.replica.Closed()
	for model, w := range report.Weights {
		if w.Whole {
			s.Model, s.Version = model, w.Version
		}
	}
	return s
}
