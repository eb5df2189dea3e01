package claim

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// pendingUpdate is an update that the store has not confirmed: a result, or a
// release if result is nil.
type pendingUpdate struct {
	key     Key
	attempt model.AttemptID
	now     time.Time
	result  *Result
}

type updateID struct {
	key     Key
	attempt model.AttemptID
}

func (u pendingUpdate) id() updateID { return updateID{u.key, u.attempt} }

func (u pendingUpdate) size() int {
	if u.result == nil {
		return 0
	}
	return len(u.result.Body)
}

// backlog holds unconfirmed updates in bounded memory. It is safe for
// concurrent use.
type backlog struct {
	limit     int
	byteLimit int

	mu      sync.Mutex
	updates map[updateID]pendingUpdate
	order   []updateID
	bytes   int
}

func newBacklog(limit, byteLimit int) *backlog {
	return &backlog{limit: limit, byteLimit: byteLimit, updates: make(map[updateID]pendingUpdate)}
}

// nearlyFull reports whether the backlog is at least half full. The other half
// is reserved for claims in progress, which may need one place each.
func (b *backlog) nearlyFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.updates) >= b.limit/2
}

func (b *backlog) add(u pendingUpdate) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, exists := b.updates[u.id()]
	if !exists && len(b.updates) >= b.limit || b.bytes-old.size()+u.size() > b.byteLimit {
		return ErrBacklogFull
	}
	if !exists {
		b.order = append(b.order, u.id())
	}
	b.bytes += u.size() - old.size()
	b.updates[u.id()] = u
	return nil
}

// hasRelease reports whether a release of the attempt is pending, which means
// that the attempt never ran.
func (b *backlog) hasRelease(key Key, attempt model.AttemptID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, ok := b.updates[updateID{key, attempt}]
	return ok && u.result == nil
}

// oldest returns up to n updates in insertion order.
func (b *backlog) oldest(n int) []pendingUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]pendingUpdate, 0, min(n, len(b.order)))
	for _, id := range b.order[:min(n, len(b.order))] {
		out = append(out, b.updates[id])
	}
	return out
}

func (b *backlog) remove(u pendingUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := u.id()
	if _, ok := b.updates[id]; !ok {
		return
	}
	b.bytes -= b.updates[id].size()
	delete(b.updates, id)
	for i, other := range b.order {
		if other == id {
			b.order = append(b.order[:i], b.order[i+1:]...)
			break
		}
	}
}

func (b *backlog) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.updates)
}
