// Package connlimit bounds the open connections of a listener. When the bound is reached, the
// connection whose client has made no progress for longest is closed, so that clients that
// open connections and do not use them do not shut out others.
package connlimit

import (
	"container/list"
	"sync"
	"time"
)

// minPause is the time without progress after which a connection may be closed for a new one
// at once. A client needs about a round trip to send its request after it has connected;
// without this time, a quick succession of new connections would close each of them before.
const minPause = 50 * time.Millisecond

// Limiter bounds the open connections of one listener. It is safe for concurrent use.
type Limiter struct {
	limit int

	mu   sync.Mutex
	open int
	// pending holds the slots of connections that may be closed, those with the oldest
	// progress first.
	pending         list.List
	closed, refused int64
}

// New returns a Limiter of limit connections.
func New(limit int) *Limiter { return &Limiter{limit: max(1, limit)} }

// Admit reserves a slot for a new connection, which may be closed from now on. If all are
// taken, it closes the connection with the oldest progress. If that one has made progress
// within minPause, and force is not set, it returns nil and the time after which it may be
// closed; if no connection may be closed, it returns nil and zero. closeConn closes the connection; it must not block
// and must not use the Slot or the Limiter.
func (l *Limiter) Admit(now time.Time, closeConn func(), force bool) (*Slot, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		front := l.pending.Front()
		if front == nil {
			l.refused++
			return nil, 0
		}
		oldest := front.Value.(*Slot)
		if age := now.Sub(oldest.progressAt); age < minPause && !force {
			return nil, minPause - age
		}
		l.release(oldest)
		l.closed++
		oldest.closeConn()
	}
	s := &Slot{limiter: l, closeConn: closeConn, progressAt: now}
	s.element = l.pending.PushBack(s)
	l.open++
	return s, 0
}

// release takes a slot back. The caller holds mu.
func (l *Limiter) release(s *Slot) {
	if s.released {
		return
	}
	s.released = true
	s.setPending(false)
	l.open--
}

// Stats returns the number of open connections, and of those that were closed for new ones
// or refused since the start.
func (l *Limiter) Stats() (open int, closed, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.closed, l.refused
}
