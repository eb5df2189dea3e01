// Package link holds an entry's connection to one agent: it connects again when
// the connection breaks, sends heartbeats, and sorts incoming messages by
// attempt.
package link

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"

	"github.com/auburnbend/auburnbend/lib/heartbeat"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ErrNotSent means that a message was certainly not handed to the connection.
var ErrNotSent = merry.New("message not sent")

// heardEvery is the time between two reports that frames arrive. Silence is
// judged after a second at the earliest, and an entry at the planned size gets
// 7,800 frames a second, each of which would take the fleet's mutex.
const heardEvery = 200 * time.Millisecond

// Link is safe for concurrent use.
type Link struct {
	cfg     Config
	handler Handler
	// started wakes the heartbeats when a first request starts.
	started chan struct{}

	mu   sync.Mutex
	conn *wire.Conn // nil while there is no connection
	peer wire.Hello // of the last connection that the handler accepted
	// accepted says that conn may carry attempts.
	accepted bool
	inboxes  map[model.AttemptID]*Inbox
}

// New returns a link that connects when Run is called.
func New(cfg Config, handler Handler) *Link {
	return &Link{cfg: cfg.applyDefaults(), handler: handler, started: make(chan struct{}, 1), inboxes: make(map[model.AttemptID]*Inbox)}
}

// Run keeps the connection up until ctx ends.
func (l *Link) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = l.cfg.MinBackoff, l.cfg.MaxBackoff
	for ctx.Err() == nil {
		conn, peer, err := l.cfg.Dial(ctx, l.cfg.Address)
		if err != nil {
			l.handler.ConnectFailed(l.cfg.Instance, err)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		l.serve(ctx, conn, peer)
		sleep(ctx, l.cfg.MinBackoff)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serve reads from a connection until it breaks.
func (l *Link) serve(ctx context.Context, conn *wire.Conn, peer wire.Hello) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if peer.Identity.Instance != l.cfg.Instance {
		l.handler.ConnectFailed(l.cfg.Instance, merry.Errorf("%s answers at the address", peer.Identity.Instance))
		return
	}
	id := l.cfg.NextConnID()
	// The handler sends its first messages through the link.
	l.attach(conn)
	defer l.detach(conn)
	if l.handler.Connected(id, peer) != nil {
		return
	}
	l.accept(peer)
	defer l.handler.Disconnected(id, peer)
	beats := heartbeat.Sender{Conn: conn, Beat: l.cfg.Heartbeat, InFlight: l.InFlight, Look: l.started}
	go beats.Run()
	var heard time.Time
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if attempt, ok := wire.AttemptOf(m); ok {
			if now := time.Now(); now.Sub(heard) >= heardEvery {
				heard = now
				l.handler.FrameReceived(id)
			}
			l.deliver(attempt, m)
			continue
		}
		l.handler.Message(id, peer, m, conn.Send)
	}
}

// attach makes the connection current for messages of the handler.
func (l *Link) attach(conn *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
}

// accept opens the current connection to attempts and tells waiting ones whether
// they can be reattached. It comes after the handler's consent: an attempt that
// goes to a generation which the handler refuses would be lost.
func (l *Link) accept(peer wire.Hello) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := Reconnected
	if l.peer.Identity.Generation != 0 && l.peer.Identity.Generation != peer.Identity.Generation {
		kind = AgentReplaced
	}
	l.peer, l.accepted = peer, true
	for _, inbox := range l.inboxes {
		inbox.put(Event{Kind: kind})
	}
}

func (l *Link) detach(conn *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	accepted := l.accepted
	l.conn, l.accepted = nil, false
	if !accepted {
		return
	}
	for _, inbox := range l.inboxes {
		inbox.put(Event{Kind: ConnectionLost})
	}
}

func (l *Link) deliver(id model.AttemptID, m wire.Message) {
	l.mu.Lock()
	inbox := l.inboxes[id]
	l.mu.Unlock()
	if inbox != nil {
		inbox.put(Event{Kind: MessageReceived, Message: m})
	}
}

// Start sends the first message of an attempt and opens its inbox. When it
// returns ErrNotSent, the agent certainly did not get the attempt.
func (l *Link) Start(m *wire.RequestStart) (*Inbox, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.accepted {
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessage("no connection"))
	}
	inbox := newInbox()
	l.inboxes[m.Attempt] = inbox
	if err := l.conn.TrySend(m); err != nil {
		delete(l.inboxes, m.Attempt)
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	if len(l.inboxes) == 1 {
		select {
		case l.started <- struct{}{}:
		default:
		}
	}
	return inbox, nil
}

// Finish forgets an attempt. Later messages about it are dropped.
func (l *Link) Finish(id model.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inboxes, id)
}

// Send queues a message on the current connection.
func (l *Link) Send(m wire.Message) error {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return merry.Wrap(ErrNotSent, merry.AppendMessage("no connection"))
	}
	return conn.TrySend(m)
}

// Drop closes the current connection, so that Run opens a new one.
func (l *Link) Drop() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// InFlight returns the number of attempts that are open.
func (l *Link) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.inboxes)
}

// Peer returns the Hello of the current connection; ok is false without one.
func (l *Link) Peer() (hello wire.Hello, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer, l.accepted
}

// Bytes returns the bytes that the current connection sent and received.
func (l *Link) Bytes() (sent, received int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return 0, 0
	}
	return l.conn.Bytes()
}
