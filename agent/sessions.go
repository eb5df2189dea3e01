package agent

import (
	"sync"
)

// sessions holds the connections of entries. It is safe for concurrent use.
type sessions struct {
	mu  sync.Mutex
	now map[*session]struct{}
}

func newSessions() *sessions { return &sessions{now: make(map[*session]struct{})} }

func (s *sessions) add(one *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now[one] = struct{}{}
}

func (s *sessions) remove(one *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.now, one)
}

// beat sends a heartbeat out of turn on all connections: a change of what the
// instance serves should not wait for the next one.
func (s *sessions) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one := range s.now {
		one.wake()
	}
}
