package transfer

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

func rendezvous(digest model.Digest, addresses []string) []string {
	return distribute.RendezvousOrder(digest, addresses)
}

// linkEvent is what a link tells the run loop. A nil conn means that no tracker
// is reachable.
type linkEvent struct {
	link    *link
	conn    *wire.Conn
	message wire.Message // nil when the connection is new
}

// link keeps a connection to the tracker of one version.
type link struct {
	s      *Service
	digest model.Digest
	cancel context.CancelFunc
	events chan<- linkEvent
}

// silence says how long an entry that sent nothing is passed over.
type silence struct {
	until time.Time
	wait  time.Duration
}

// again doubles the wait, which ends with the first message of the entry.
func (s silence) again(first time.Duration) silence {
	s.wait = min(max(s.wait*2, first), maxSilence)
	s.until = time.Now().Add(s.wait)
	return s
}

// maxSilence bounds the wait before a silent entry is tried again.
const maxSilence = time.Minute

// linkRetry is the wait after a round over all entries failed.
const linkRetry = 500 * time.Millisecond

func (s *Service) newLink(digest model.Digest, events chan<- linkEvent) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{s: s, digest: digest, cancel: cancel, events: events}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		l.run(ctx)
	}()
	return l
}

// run connects to the first entry in rendezvous order that answers, and tries
// earlier ones from time to time.
func (l *link) run(ctx context.Context) {
	silent := make(map[string]silence)
	for ctx.Err() == nil {
		order, changed := l.order()
		conn, rank := l.connect(ctx, order, silent)
		if conn == nil {
			l.emit(ctx, linkEvent{link: l})
			select {
			case <-ctx.Done():
			case <-changed:
			case <-time.After(l.s.jitter(linkRetry)):
			}
			continue
		}
		for conn != nil {
			address := order[rank]
			var answered bool
			conn, rank, answered = l.use(ctx, conn, order, rank, silent)
			if answered {
				delete(silent, address)
			} else {
				silent[address] = silent[address].again(l.s.cfg.FailbackInterval)
			}
		}
	}
}

func (l *link) order() ([]string, <-chan struct{}) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return rendezvous(l.digest, l.s.entries), l.s.changed
}

// connect returns a connection to the first entry that accepts one. Entries that
// accepted one and then sent nothing are passed over for a time: a path that
// carries only one direction lets a handshake pass.
func (l *link) connect(ctx context.Context, order []string, silent map[string]silence) (*wire.Conn, int) {
	for rank, address := range order {
		if time.Now().Before(silent[address].until) {
			continue
		}
		if conn, err := l.s.dial(ctx, address); err == nil {
			return conn, rank
		}
	}
	return nil, 0
}

// use reads from a connection until it fails or is silent. Each announcement is
// answered and repeated every second, so a silent tracker is a dead one. If an
// earlier entry answers meanwhile, its connection is returned.
func (l *link) use(ctx context.Context, conn *wire.Conn, order []string, rank int, silent map[string]silence) (next *wire.Conn, nextRank int, answered bool) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	try, cancel := context.WithCancel(ctx)
	defer cancel()
	better := make(chan *wire.Conn, 1)
	if rank == 0 {
		close(better)
	} else {
		l.s.wg.Add(1)
		go func() {
			defer l.s.wg.Done()
			defer close(better)
			var c *wire.Conn
			if c, nextRank = l.findBetter(try, order[:rank], silent); c != nil {
				better <- c
				_ = conn.Close()
			}
		}()
	}
	l.emit(ctx, linkEvent{link: l, conn: conn})
	for {
		_ = conn.SetReadDeadline(time.Now().Add(l.s.cfg.TrackerTimeout))
		m, err := conn.Receive()
		if err != nil {
			break
		}
		if a, ok := m.(*wire.Assign); ok && a.Sequence > 0 {
			answered = true
		}
		l.emit(ctx, linkEvent{link: l, conn: conn, message: m})
	}
	cancel()
	return <-better, nextRank, answered
}

func (l *link) findBetter(ctx context.Context, order []string, silent map[string]silence) (*wire.Conn, int) {
	for {
		select {
		case <-ctx.Done():
			return nil, 0
		case <-time.After(l.s.jitter(l.s.cfg.FailbackInterval)):
		}
		conn, rank := l.connect(ctx, order, silent)
		switch {
		case conn == nil:
		case l.answers(conn):
			return conn, rank
		default:
			silent[order[rank]] = silent[order[rank]].again(l.s.cfg.FailbackInterval)
		}
	}
}

// answers probes a new connection with an empty announcement, so that a working
// tracker is not given up for a silent one. It closes a silent connection.
func (l *link) answers(conn *wire.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(l.s.cfg.DialTimeout))
	err := conn.Send(&wire.Announce{Manifest: l.digest, Sequence: 1})
	if err == nil {
		_, err = conn.Receive() // nothing is pushed before the first announcement
	}
	if err != nil {
		_ = conn.Close()
	}
	return err == nil
}

func (l *link) emit(ctx context.Context, e linkEvent) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}
