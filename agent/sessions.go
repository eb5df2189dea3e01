package agent

import (
	"sync"

	"github.com/auburnbend/auburnbend/lib/wire"
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

// sendCache sends an update of the prefix cache on all connections, or a
// snapshot where the entry has asked for one. A full queue drops it: the entry
// sees the gap in the numbers.
func (s *sessions) sendCache(update, snapshot *wire.CacheUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one := range s.now {
		switch {
		case one.wantsCache.Swap(false):
			_ = one.conn.TrySend(snapshot)
		case update != nil:
			_ = one.conn.TrySend(update)
		}
	}
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
