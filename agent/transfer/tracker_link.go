package transfer

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// rankEntries returns the entries in the rendezvous order of a manifest.
func rankEntries(digest model.Digest, addresses []string) []string {
	return distribute.RendezvousOrder(digest, addresses)
}

// linkEvent is sent by a trackerLink to its owner. A nil conn means that no
// tracker is reachable.
type linkEvent struct {
	link    *trackerLink
	conn    *wire.Conn
	message wire.Message // nil if the connection is new
}

// trackerLink maintains a connection to the tracker of one version.
type trackerLink struct {
	service *Service
	digest  model.Digest
	cancel  context.CancelFunc
	events  chan<- linkEvent
}

// entryBackoff is the time for which an entry that sent nothing is skipped.
type entryBackoff struct {
	until time.Time
	wait  time.Duration
}

// increase doubles the wait, starting at initial. The first reply of the entry
// resets it.
func (b entryBackoff) increase(initial time.Duration) entryBackoff {
	b.wait = min(max(b.wait*2, initial), maxEntryBackoff)
	b.until = time.Now().Add(b.wait)
	return b
}

// maxEntryBackoff is the maximum wait before a silent entry is tried again.
const maxEntryBackoff = time.Minute

// reconnectDelay is the maximum wait, with jitter, after no entry accepted a
// connection.
const reconnectDelay = 500 * time.Millisecond

func (s *Service) newTrackerLink(digest model.Digest, events chan<- linkEvent) *trackerLink {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &trackerLink{service: s, digest: digest, cancel: cancel, events: events}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		l.run(ctx)
	}()
	return l
}

// run stays connected to the first entry in rendezvous order that responds, and
// periodically tries higher-ranked entries.
func (l *trackerLink) run(ctx context.Context) {
	backoffs := make(map[string]entryBackoff)
	for ctx.Err() == nil {
		order, changed := l.rankedEntries()
		conn, rank := l.connect(ctx, order, backoffs)
		if conn == nil {
			l.emit(ctx, linkEvent{link: l})
			select {
			case <-ctx.Done():
			case <-changed:
			case <-time.After(l.service.jitter(reconnectDelay)):
			}
			continue
		}
		for conn != nil {
			address := order[rank]
			var acknowledged bool
			conn, rank, acknowledged = l.receive(ctx, conn, order, rank, backoffs)
			if acknowledged {
				delete(backoffs, address)
			} else {
				backoffs[address] = backoffs[address].increase(l.service.cfg.FailbackInterval)
			}
		}
	}
}

// rankedEntries returns the entries in rendezvous order and a channel that is
// closed when the entries change.
func (l *trackerLink) rankedEntries() ([]string, <-chan struct{}) {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	return rankEntries(l.digest, l.service.entries), l.service.entriesChanged
}

// connect returns a connection to the first entry that accepts one, and the
// entry's rank; nil if none does. It skips entries that recently accepted a
// connection and then sent nothing, because a path that works in only one
// direction can still complete a handshake.
func (l *trackerLink) connect(ctx context.Context, order []string, backoffs map[string]entryBackoff) (*wire.Conn, int) {
	for rank, address := range order {
		if time.Now().Before(backoffs[address].until) {
			continue
		}
		if conn, err := l.service.dial(ctx, address); err == nil {
			return conn, rank
		}
	}
	return nil, 0
}

// receive passes on messages from a connection until it fails or is silent.
// Announcements are repeated at least once per second and each one is
// acknowledged, so silence means that the tracker is unreachable. If a
// higher-ranked entry responds in the meantime, its connection and rank are
// returned. acknowledged reports whether the tracker acknowledged an
// announcement.
func (l *trackerLink) receive(ctx context.Context, conn *wire.Conn, order []string, rank int, backoffs map[string]entryBackoff) (next *wire.Conn, nextRank int, acknowledged bool) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	failbackCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	higherRanked := make(chan *wire.Conn, 1)
	if rank == 0 {
		close(higherRanked)
	} else {
		l.service.wg.Add(1)
		go func() {
			defer l.service.wg.Done()
			defer close(higherRanked)
			var c *wire.Conn
			if c, nextRank = l.findHigherRankedEntry(failbackCtx, order[:rank], backoffs); c != nil {
				higherRanked <- c
				_ = conn.Close()
			}
		}()
	}
	l.emit(ctx, linkEvent{link: l, conn: conn})
	for {
		_ = conn.SetReadDeadline(time.Now().Add(l.service.cfg.TrackerTimeout))
		m, err := conn.Receive()
		if err != nil {
			break
		}
		if a, ok := m.(*wire.Assign); ok && a.Sequence > 0 {
			acknowledged = true
		}
		l.emit(ctx, linkEvent{link: l, conn: conn, message: m})
	}
	cancel()
	return <-higherRanked, nextRank, acknowledged
}

// findHigherRankedEntry periodically tries the given entries and returns a connection
// to the first one that responds, and its rank. It returns nil when ctx ends.
func (l *trackerLink) findHigherRankedEntry(ctx context.Context, order []string, backoffs map[string]entryBackoff) (*wire.Conn, int) {
	for {
		select {
		case <-ctx.Done():
			return nil, 0
		case <-time.After(l.service.jitter(l.service.cfg.FailbackInterval)):
		}
		conn, rank := l.connect(ctx, order, backoffs)
		switch {
		case conn == nil:
		case l.probe(conn):
			return conn, rank
		default:
			backoffs[order[rank]] = backoffs[order[rank]].increase(l.service.cfg.FailbackInterval)
		}
	}
}

// probe reports whether the tracker replies to an empty announcement on a new
// connection, so that a working tracker is not abandoned for a silent one. It
// closes the connection if there is no reply.
func (l *trackerLink) probe(conn *wire.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(l.service.cfg.DialTimeout))
	err := conn.Send(&wire.Announce{Manifest: l.digest, Sequence: 1})
	if err == nil {
		_, err = conn.Receive() // trackers send nothing before the first announcement
	}
	if err != nil {
		_ = conn.Close()
	}
	return err == nil
}

func (l *trackerLink) emit(ctx context.Context, e linkEvent) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}
