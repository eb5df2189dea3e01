package config

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// Store stores the accepted configuration in the platform's table service. It is
// safe for concurrent use, also by several processes.
type Store struct {
	cfg    StoreConfig
	table  backing.TableService
	cached atomic.Pointer[storeState]
}

// storeState is one revision together with its configuration. It is immutable once
// it is shared.
type storeState struct {
	head        Head
	change      Change
	config      *Config
	headVersion uint64 // version of the head row; 0 if it does not exist
}

// NewStore returns a store that uses the given table service.
func NewStore(table backing.TableService, cfg StoreConfig) *Store {
	cfg.applyDefaults()
	return &Store{cfg: cfg, table: table}
}

// Head returns the newest revision. The zero Head means that no configuration was
// accepted yet. It returns ErrStoreUnavailable if the store does not answer.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// Get returns the configuration of a revision, or of the newest one if number is 0.
// It returns ErrRevisionNotFound or ErrStoreUnavailable.
func (s *Store) Get(ctx context.Context, number uint64) (View, error) {
	if number == 0 {
		state, err := s.latestState(ctx)
		if err != nil {
			return View{}, err
		}
		return state.view(), nil
	}
	state, err := s.stateAt(ctx, number)
	if err != nil {
		return View{}, err
	}
	return state.view(), nil
}

func (s *storeState) view() View {
	view := View{Config: s.config, Head: s.head}
	if s.head.Number > 0 {
		view.Accepted = s.change.Time()
	}
	return view
}

// readHead returns the head and the version of its row.
func (s *Store) readHead(ctx context.Context) (Head, uint64, error) {
	row, err := s.table.Get(ctx, Table, headKey)
	if errors.Is(err, backing.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, storeUnavailable(err)
	}
	var head Head
	if err := msgstream.Unmarshal(row.Value, &head); err != nil {
		return Head{}, 0, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return head, row.Version, nil
}

// latestState returns the state of the newest revision.
func (s *Store) latestState(ctx context.Context) (*storeState, error) {
	head, version, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if head.Number == 0 {
		return &storeState{config: &Config{}}, nil
	}
	if cached := s.cached.Load(); cached != nil && cached.head == head && cached.headVersion == version {
		return cached, nil
	}
	state, err := s.stateAt(ctx, head.Number)
	if err != nil {
		return nil, err
	}
	if state.head != head {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("revision %d does not match the head row", head.Number))
	}
	state.headVersion = version
	s.cached.Store(state)
	return state, nil
}

// stateAt returns the state of a revision. It starts from the cached state or the
// nearest snapshot before it and applies the revisions in between.
func (s *Store) stateAt(ctx context.Context, number uint64) (*storeState, error) {
	state := storeState{config: &Config{}}
	if cached := s.cached.Load(); cached != nil && cached.head.Number <= number {
		state = storeState{head: cached.head, change: cached.change, config: cached.config}
	}
	if number-state.head.Number > RevisionsPerSnapshot || state.head.Number == 0 {
		if err := s.readSnapshot(ctx, number, &state); err != nil {
			return nil, err
		}
	}
	for state.head.Number < number {
		rows, err := s.table.Scan(ctx, Table, revisionPrefix, RevisionKey(state.head.Number), pollPageSize)
		if err != nil {
			return nil, storeUnavailable(err)
		}
		before := state.head.Number
		for _, row := range rows {
			if state.head.Number == number {
				break
			}
			_, ok, err := decodeRevisionRow(row, state.head.Number+1)
			if err != nil {
				return nil, err
			}
			if !ok {
				continue
			}
			if err := state.applyRevision(row.Value); err != nil {
				return nil, err
			}
		}
		if state.head.Number == before {
			return nil, merry.Wrap(ErrRevisionNotFound, merry.AppendMessagef("revision %d", number))
		}
	}
	return &state, nil
}

// readSnapshot replaces state by the newest snapshot whose revision is not higher
// than number, unless state is at least as new.
func (s *Store) readSnapshot(ctx context.Context, number uint64, state *storeState) error {
	_, revision, _, err := s.scanSnapshot(ctx, snapshotKey(number+1))
	if err != nil {
		return err
	}
	if revision.Number <= state.head.Number {
		return nil
	}
	c, err := revision.SnapshotConfig()
	if err != nil {
		return err
	}
	change, err := revision.DecodeChange()
	if err != nil {
		return err
	}
	*state = storeState{head: revision.Head(), change: change, config: c}
	return nil
}

// applyRevision applies an encoded revision to the state.
func (s *storeState) applyRevision(data []byte) error {
	revision, err := DecodeRevision(data)
	if err != nil {
		return err
	}
	next, err := revision.ApplyTo(s.head, s.config)
	if err != nil {
		return err
	}
	change, err := revision.DecodeChange()
	if err != nil {
		return err
	}
	s.head, s.change, s.config = revision.Head(), change, next
	return nil
}

// stateDigest returns the digest of the configuration.
func (s *storeState) stateDigest() model.Digest { return s.change.Delta.StateDigest }

// storeUnavailable wraps an error of the table service as ErrStoreUnavailable.
func storeUnavailable(err error) error {
	return merry.Wrap(ErrStoreUnavailable, merry.WithCause(err))
}
