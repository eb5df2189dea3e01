package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// store is one table of a store in memory, as one instance reaches it.
type store struct {
	*content
	mu sync.Mutex
	// cut makes calls wait for nothing, refused makes them fail.
	cut, refused bool
	calls        []time.Time
}

// content is what all instances share.
type content struct {
	mu       sync.Mutex
	rows     []watch.Row
	revision int64
	changed  chan struct{}
}

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
	rows := watch.Rows{Revision: c.revision}
	for _, r := range c.rows {
		if r.Revision > revision {
			rows.Rows = append(rows.Rows, r)
		}
	}
	return rows, c.changed
}

func (s *store) set(cut, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut, s.refused = cut, refused
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *store) call(ctx context.Context) error {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	cut, refused := s.cut, s.refused
	s.mu.Unlock()
	if refused {
		return errors.New("refused")
	}
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *store) Snapshot(ctx context.Context) (watch.Rows, error) {
	if err := s.call(ctx); err != nil {
		return watch.Rows{}, err
	}
	rows, _ := s.since(-1)
	return rows, nil
}

func (s *store) Changes(ctx context.Context, since int64, wait time.Duration) (watch.Rows, error) {
	if err := s.call(ctx); err != nil {
		return watch.Rows{}, err
	}
	end := time.After(wait)
	for {
		rows, changed := s.since(since)
		if len(rows.Rows) > 0 || wait == 0 {
			return rows, nil
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		}
		s.mu.Lock()
		cut := s.cut
		s.mu.Unlock()
		if cut {
			<-ctx.Done()
			return watch.Rows{}, ctx.Err()
		}
	}
}
