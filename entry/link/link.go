// Package link maintains the connection of an entry to one agent or other entry. It
// reconnects when the connection fails, sends heartbeats and distributes incoming
// messages to the attempts that they belong to.
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

// ErrNotSent means that a message was definitely not passed to the connection.
var ErrNotSent = merry.New("message not sent")

// frameReportInterval is the minimum time between two calls of
// Handler.FrameReceived. An entry at the planned size receives 7,800 frames per
// second, each of which would lock the mutex of the fleet. Silent connections are
// not detected before 1 s, so reports at this interval are sufficient.
const frameReportInterval = 200 * time.Millisecond

// Link is a connection to one peer that is reopened when it fails. It is safe for
// concurrent use.
type Link struct {
	cfg     Config
	handler Handler
	// becameBusy wakes the heartbeat sender when the number of attempts rises from
	// zero to one.
	becameBusy chan struct{}

	mu   sync.Mutex
	conn *wire.Conn // nil if not connected
	peer wire.Hello // Hello on the last connection that the handler accepted
	// accepted is true if the handler has accepted conn. Only then may attempts be
	// sent on it.
	accepted bool
	inboxes  map[model.AttemptID]*Inbox
}

// New returns a Link, which connects once Run is called.
func New(cfg Config, handler Handler) *Link {
	return &Link{cfg: cfg.applyDefaults(), handler: handler, becameBusy: make(chan struct{}, 1), inboxes: make(map[model.AttemptID]*Inbox)}
}

// Run opens the connection, and opens it again whenever it fails, until ctx ends.
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serve reads from a connection until it fails or ctx ends.
func (l *Link) serve(ctx context.Context, conn *wire.Conn, peer wire.Hello) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if peer.Identity.Instance != l.cfg.Instance {
		l.handler.ConnectFailed(l.cfg.Instance, merry.Errorf("address belongs to instance %s, expected %s", peer.Identity.Instance, l.cfg.Instance))
		return
	}
	id := l.cfg.NextConnID()
	// The handler may send messages on the link while it is in Connected.
	l.setConn(conn)
	defer l.clearConn(conn)
	if l.handler.Connected(id, peer) != nil {
		return
	}
	l.accept(peer)
	defer l.handler.Disconnected(id, peer)
	beats := heartbeat.Sender{Conn: conn, Heartbeat: l.cfg.Heartbeat, InFlight: l.InFlight, RequestStarted: l.becameBusy}
	go beats.Run()
	var reportedAt time.Time
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if attempt, ok := wire.AttemptOf(m); ok {
			if now := time.Now(); now.Sub(reportedAt) >= frameReportInterval {
				reportedAt = now
				l.handler.FrameReceived(id)
			}
			l.deliver(attempt, m)
			continue
		}
		l.handler.Message(id, peer, m, conn.Send)
	}
}

// setConn sets the current connection. Attempts may use it only after accept.
func (l *Link) setConn(conn *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
}

// accept allows attempts on the current connection and notifies open attempts
// whether they can be reattached. It is called after the handler has accepted the
// connection, because an attempt sent to a generation that the handler rejects
// would be lost.
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

// clearConn removes a connection that has ended and notifies open attempts of the
// loss if they could use it.
func (l *Link) clearConn(conn *wire.Conn) {
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

// deliver adds a message to the inbox of its attempt. It drops messages about unknown
// attempts.
func (l *Link) deliver(id model.AttemptID, m wire.Message) {
	l.mu.Lock()
	inbox := l.inboxes[id]
	l.mu.Unlock()
	if inbox != nil {
		inbox.put(Event{Kind: MessageReceived, Message: m})
	}
}

// Start sends the first message of an attempt and returns the inbox of the attempt.
// ErrNotSent means that the agent definitely did not receive the attempt.
func (l *Link) Start(m *wire.RequestStart) (*Inbox, error) { return l.StartHeld(m, nil) }

// StartHeld is Start for a message whose body takes room that somebody counts. release, which
// may be nil, is called once the link no longer holds the body, also on an error.
func (l *Link) StartHeld(m *wire.RequestStart, release func()) (*Inbox, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.accepted {
		if release != nil {
			release()
		}
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessage("no connection"))
	}
	inbox := newInbox()
	l.inboxes[m.Attempt] = inbox
	if err := l.conn.TrySendHeld(m, release); err != nil {
		delete(l.inboxes, m.Attempt)
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	if len(l.inboxes) == 1 {
		select {
		case l.becameBusy <- struct{}{}:
		default:
		}
	}
	return inbox, nil
}

// Finish removes an attempt. Later messages about it are dropped.
func (l *Link) Finish(id model.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inboxes, id)
}

// Send queues a message on the current connection without blocking. It returns
// ErrNotSent if there is no connection.
func (l *Link) Send(m wire.Message) error {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return merry.Wrap(ErrNotSent, merry.AppendMessage("no connection"))
	}
	return conn.TrySend(m)
}

// Drop closes the current connection. Run then opens a new one.
func (l *Link) Drop() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// InFlight returns the number of open attempts.
func (l *Link) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.inboxes)
}

// Peer returns the Hello of the peer. The result ok is false if no connection is
// accepted.
func (l *Link) Peer() (hello wire.Hello, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer, l.accepted
}

// Bytes returns the number of bytes sent and received on the current connection.
func (l *Link) Bytes() (sent, received int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return 0, 0
	}
	return l.conn.ByteCounts()
}
