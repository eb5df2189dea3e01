package agent

import (
	"sync"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// sessions holds the open connections of entries. It is safe for concurrent use.
type sessions struct {
	mu   sync.Mutex
	open map[*session]struct{}
}

func newSessions() *sessions { return &sessions{open: make(map[*session]struct{})} }

func (s *sessions) add(added *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[added] = struct{}{}
}

func (s *sessions) remove(removed *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, removed)
}

// sendCache sends an update of the prefix cache on all connections, or a snapshot on
// those whose entry has requested one. If a send queue is full, the message is
// dropped; the entry detects the gap in the sequence numbers.
func (s *sessions) sendCache(update, snapshot *wire.CacheUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for each := range s.open {
		switch {
		case each.snapshotRequested.Swap(false):
			_ = each.conn.TrySend(snapshot)
		case update != nil:
			_ = each.conn.TrySend(update)
		}
	}
}

// sendHeartbeats triggers a heartbeat on all connections, so that entries learn of a
// change in what the instance serves without waiting for the regular heartbeat.
func (s *sessions) sendHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for each := range s.open {
		each.sendHeartbeat()
	}
}
