package connlimit

import (
	"container/list"
	"time"
)

// Slot is the place of an open connection. It is safe for concurrent use. Its methods have
// no effect after Release, and on a nil Slot.
type Slot struct {
	limiter   *Limiter
	closeConn func()
	// element is the place among the connections that may be closed; nil if this one may not.
	// Like the other fields, it is guarded by the mutex of the Limiter.
	element    *list.Element
	progressAt time.Time
	released   bool
}

// Progress records that the client has made progress. The connection may be closed again,
// once all others have older progress.
func (s *Slot) Progress(now time.Time) {
	if s == nil {
		return
	}
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.progressAt = now
	s.setPending(!s.released)
}

// Keep records that the connection must not be closed, until the next call of Progress. It
// returns false if the slot has been released: the connection is closed already.
func (s *Slot) Keep() bool {
	if s == nil {
		return true
	}
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.setPending(false)
	return !s.released
}

// Release returns the slot of a closed connection.
func (s *Slot) Release() {
	if s == nil {
		return
	}
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.release(s)
}

// setPending puts the slot behind all others that may be closed, or removes it from them. The
// caller holds the mutex of the Limiter.
func (s *Slot) setPending(pending bool) {
	switch {
	case pending && s.element != nil:
		s.limiter.pending.MoveToBack(s.element)
	case pending:
		s.element = s.limiter.pending.PushBack(s)
	case s.element != nil:
		s.limiter.pending.Remove(s.element)
		s.element = nil
	}
}
