// Package table is a stand-in for the platform's transactional table service.
package table

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/standin/fault"
)

// Service is an in-memory table service that implements backing.TableService. It is safe
// for concurrent use.
type Service struct {
	// Faults injects faults into the service.
	Faults fault.Injector

	// mu protects the fields below.
	mu sync.Mutex
	// sequence is the number of applied transactions.
	sequence uint64
	tables   map[string]*tableRows
	stats    Stats
}

// New returns an empty service.
func New() *Service { return &Service{tables: make(map[string]*tableRows)} }

// Get implements backing.TableService.
func (s *Service) Get(ctx context.Context, table, key string) (backing.Row, error) {
	sequence, err := s.beginRead(ctx)
	if err != nil {
		return backing.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tables[table]; t != nil {
		if state, ok := t.stateAt(key, sequence); ok {
			return toRow(table, key, state), nil
		}
	}
	return backing.Row{}, merry.Wrap(backing.ErrNotFound)
}

// Scan implements backing.TableService.
func (s *Service) Scan(ctx context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	sequence, err := s.beginRead(ctx)
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
		if state, ok := t.stateAt(key, sequence); ok {
			found = append(found, toRow(table, key, state))
		}
	}
	return found, nil
}

// Commit implements backing.TableService.
func (s *Service) Commit(ctx context.Context, tx backing.Transaction) error {
	down, err := s.Faults.BeforeCall(ctx)
	if down {
		return merry.Wrap(backing.ErrNotApplied)
	}
	if err != nil {
		return merry.Wrap(backing.ErrUnknown, merry.WithCause(err))
	}
	loss := s.Faults.NextWriteLoss()
	if loss == fault.LossBefore {
		return merry.Wrap(backing.ErrUnknown)
	}
	err = s.apply(tx)
	if loss == fault.LossAfter {
		return merry.Wrap(backing.ErrUnknown)
	}
	return err
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// beginRead applies the faults to a read and counts it. It returns the sequence number of
// the transaction whose state the read returns.
func (s *Service) beginRead(ctx context.Context) (uint64, error) {
	down, err := s.Faults.BeforeCall(ctx)
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
		if !s.conditionHolds(w) {
			return merry.Wrap(&backing.ConflictError{Index: i})
		}
	}
	s.sequence++
	for _, w := range tx.Writes {
		t := s.tables[w.Table]
		if t == nil {
			t = newTableRows()
			s.tables[w.Table] = t
		}
		t.addState(w.Key, rowState{sequence: s.sequence, value: append([]byte(nil), w.Value...), deleted: w.Delete})
		s.stats.Writes++
	}
	return nil
}

// conditionHolds reports whether the condition of a write holds in the current state. The
// caller must hold s.mu.
func (s *Service) conditionHolds(w backing.Write) bool {
	var current rowState
	exists := false
	if t := s.tables[w.Table]; t != nil {
		current, exists = t.stateAt(w.Key, s.sequence)
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

func toRow(table, key string, state rowState) backing.Row {
	return backing.Row{Table: table, Key: key, Version: state.version, Value: append([]byte(nil), state.value...)}
}

// Peek returns the current state of a row regardless of injected faults, for tests that
// compare the replies to clients with the actual state. It returns false if the row does
// not exist.
func (s *Service) Peek(table, key string) (backing.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[table]
	if t == nil {
		return backing.Row{}, false
	}
	state, ok := t.stateAt(key, s.sequence)
	return toRow(table, key, state), ok
}
