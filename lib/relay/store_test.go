package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// store is a table of an in-memory store as seen by one instance.
type store struct {
	*content
	mu sync.Mutex
	// hang makes calls block until their context ends; fail makes them fail.
	hang, fail bool
	// limit is the number of rows of an answer at most; zero for no limit.
	limit int
	calls []time.Time
}

// content is the content of the table, shared by all instances.
type content struct {
	mu       sync.Mutex
	rows     []watch.Row
	revision int64
	// era is the number of restores.
	era int64
	// historyStart is the oldest revision since which changes can be read.
	historyStart int64
	changed      chan struct{}
}

// at returns a position of the first era.
func at(revision int64) watch.Position { return watch.Position{Revision: revision} }

func newContent() *content { return &content{changed: make(chan struct{})} }

func (c *content) put(key string, data []byte, deleted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.rows = append(c.rows, watch.Row{Key: key, Data: data, Deleted: deleted, Revision: c.revision})
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *content) since(revision int64) (watch.Rows, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := watch.Rows{Era: c.era, Revision: c.revision}
	for _, r := range c.rows {
		if r.Revision > revision {
			rows.Rows = append(rows.Rows, r)
		}
	}
	return rows, c.changed
}

// snapshot returns the current rows, without those that were deleted.
func (c *content) snapshot() watch.Rows {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := watch.Rows{Era: c.era, Revision: c.revision}
	for i, r := range c.rows {
		newer := slices.ContainsFunc(c.rows[i+1:], func(n watch.Row) bool { return n.Key == r.Key })
		if !newer && !r.Deleted {
			rows.Rows = append(rows.Rows, r)
		}
	}
	return rows
}

// restore goes back to an earlier revision, and drops the later history.
func (c *content) restore(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = slices.DeleteFunc(c.rows, func(r watch.Row) bool { return r.Revision > revision })
	c.revision = revision
	c.era++
	close(c.changed)
	c.changed = make(chan struct{})
}

// loseHistory makes the changes so far unreadable.
func (c *content) loseHistory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.historyStart = c.revision
}

// historyLost reports whether the changes since a revision cannot be read.
func (c *content) historyLost(revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return revision < c.historyStart || revision > c.revision
}

func (s *store) setFaults(hang, fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang, s.fail = hang, fail
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *store) call(ctx context.Context) error {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	hang, fail := s.hang, s.fail
	s.mu.Unlock()
	if fail {
		return errors.New("store refused the call")
	}
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *store) Snapshot(ctx context.Context) (watch.Rows, error) {
	if err := s.call(ctx); err != nil {
		return watch.Rows{}, err
	}
	return s.snapshot(), nil
}

func (s *store) Changes(ctx context.Context, since watch.Position, wait time.Duration) (watch.Rows, error) {
	if err := s.call(ctx); err != nil {
		return watch.Rows{}, err
	}
	timeout := time.After(wait)
	for {
		if s.historyLost(since.Revision) {
			return watch.Rows{}, watch.ErrHistoryLost
		}
		rows, changed := s.since(since.Revision)
		if s.limit > 0 && len(rows.Rows) >= s.limit {
			rows.Rows, rows.More = rows.Rows[:s.limit], true
			rows.Revision = rows.Rows[s.limit-1].Revision
		}
		if len(rows.Rows) > 0 || wait == 0 {
			return rows, nil
		}
		select {
		case <-ctx.Done():
			return watch.Rows{}, ctx.Err()
		case <-changed:
		case <-timeout:
			wait = 0
		}
		s.mu.Lock()
		hang := s.hang
		s.mu.Unlock()
		if hang {
			<-ctx.Done()
			return watch.Rows{}, ctx.Err()
		}
	}
}
