// Package table is the stand-in of the platform's transactional table service.
package table

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/standin/fault"
)

// Service is an in-memory table service. It implements backing.TableService
// and is safe for concurrent use.
type Service struct {
	// Faults are the fault switches of the service.
	Faults fault.Switch

	mu sync.Mutex
	// sequence numbers the applied transactions.
	sequence uint64
	tables   map[string]*rows
	stats    Stats
}

// New returns an empty service.
func New() *Service { return &Service{tables: make(map[string]*rows)} }

// Get implements backing.TableService.
func (s *Service) Get(ctx context.Context, table, key string) (backing.Row, error) {
	at, err := s.enterRead(ctx)
	if err != nil {
		return backing.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tables[table]; t != nil {
		if c, ok := t.at(key, at); ok {
			return row(table, key, c), nil
		}
	}
	return backing.Row{}, merry.Wrap(backing.ErrNotFound)
}

// Scan implements backing.TableService.
func (s *Service) Scan(ctx context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	at, err := s.enterRead(ctx)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[table]
	if t == nil {
		return nil, nil
	}
	var found []backing.Row
	for _, key := range t.keysFrom(prefix, after) {
		if len(found) >= limit {
			break
		}
		if c, ok := t.at(key, at); ok {
			found = append(found, row(table, key, c))
		}
	}
	return found, nil
}

// Commit implements backing.TableService.
func (s *Service) Commit(ctx context.Context, tx backing.Transaction) error {
	down, err := s.Faults.Enter(ctx)
	if down {
		return merry.Wrap(backing.ErrNotApplied)
	}
	if err != nil {
		return merry.Wrap(backing.ErrUnknown, merry.WithCause(err))
	}
	loss := s.Faults.NextWrite()
	if loss == fault.LossBefore {
		return merry.Wrap(backing.ErrUnknown)
	}
	err = s.apply(tx)
	if loss == fault.LossAfter {
		return merry.Wrap(backing.ErrUnknown)
	}
	return err
}

// Stats returns the number of calls so far.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// enterRead returns the sequence number whose state a read shows.
func (s *Service) enterRead(ctx context.Context) (uint64, error) {
	down, err := s.Faults.Enter(ctx)
	if down || err != nil {
		return 0, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	stale := uint64(max(0, s.Faults.Get().StaleBy))
	return s.sequence - min(stale, s.sequence), nil
}

func (s *Service) apply(tx backing.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Commits++
	for i, w := range tx.Writes {
		if !s.holds(w) {
			return merry.Wrap(&backing.ConflictError{Index: i})
		}
	}
	s.sequence++
	for _, w := range tx.Writes {
		t := s.tables[w.Table]
		if t == nil {
			t = newRows()
			s.tables[w.Table] = t
		}
		t.put(w.Key, cell{sequence: s.sequence, value: append([]byte(nil), w.Value...), deleted: w.Delete})
		s.stats.Writes++
	}
	return nil
}

func (s *Service) holds(w backing.Write) bool {
	var current cell
	exists := false
	if t := s.tables[w.Table]; t != nil {
		current, exists = t.at(w.Key, s.sequence)
	}
	switch w.Condition {
	case backing.IfAbsent:
		return !exists
	case backing.IfVersion:
		return exists && current.version == w.Version
	default:
		return true
	}
}

func row(table, key string, c cell) backing.Row {
	return backing.Row{Table: table, Key: key, Version: c.version, Value: append([]byte(nil), c.value...)}
}

// Peek returns the true state of a row whatever faults are set, for tests that
// compare what clients were told with what happened.
func (s *Service) Peek(table, key string) (backing.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[table]
	if t == nil {
		return backing.Row{}, false
	}
	c, ok := t.at(key, s.sequence)
	return row(table, key, c), ok
}
