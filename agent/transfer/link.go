package transfer

import (
	"context"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

func rendezvous(digest model.Digest, addresses []string) []string {
	return distribute.Rendezvous(digest, addresses)
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
	for ctx.Err() == nil {
		order, changed := l.order()
		conn, rank := l.connect(ctx, order)
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
			conn, rank = l.use(ctx, conn, order, rank)
		}
	}
}

func (l *link) order() ([]string, <-chan struct{}) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return rendezvous(l.digest, l.s.entries), l.s.changed
}

func (l *link) connect(ctx context.Context, order []string) (*wire.Conn, int) {
	for rank, address := range order {
		if conn, err := l.s.dial(ctx, address); err == nil {
			return conn, rank
		}
	}
	return nil, 0
}

// use reads from a connection until it fails or is silent. Each announcement is
// answered and repeated every second, so a silent tracker is a dead one. If an
// earlier entry answers meanwhile, its connection is returned.
func (l *link) use(ctx context.Context, conn *wire.Conn, order []string, rank int) (next *wire.Conn, nextRank int) {
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
			if c, nextRank = l.findBetter(try, order[:rank]); c != nil {
				better <- c
				_ = conn.Close()
			}
		}()
	}
	l.emit(ctx, linkEvent{link: l, conn: conn})
	for {
		_ = conn.SetReadDeadline(time.Now().Add(l.s.cfg.SilentAfter))
		m, err := conn.Receive()
		if err != nil {
			break
		}
		l.emit(ctx, linkEvent{link: l, conn: conn, message: m})
	}
	cancel()
	return <-better, nextRank
}

func (l *link) findBetter(ctx context.Context, order []string) (*wire.Conn, int) {
	for {
		select {
		case <-ctx.Done():
			return nil, 0
		case <-time.After(l.s.jitter(l.s.cfg.ReturnEvery)):
		}
		if conn, rank := l.connect(ctx, slices.Clone(order)); conn != nil {
			return conn, rank
		}
	}
}

func (l *link) emit(ctx context.Context, e linkEvent) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}
