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

// Store keeps the accepted configuration in the platform's table service. It is
// safe for concurrent use, by any number of processes at once.
type Store struct {
	cfg    StoreConfig
	table  backing.TableService
	cached atomic.Pointer[storeState]
}

// storeState is one revision with its configuration. It is immutable.
type storeState struct {
	head    Head
	change  Change
	config  *Config
	version uint64 // of the head row; 0 means that it does not exist
}

// NewStore returns a store over a table service.
func NewStore(table backing.TableService, cfg StoreConfig) *Store {
	cfg.applyDefaults()
	return &Store{cfg: cfg, table: table}
}

// Head returns the newest revision that the store shows. The zero Head means
// that nothing was accepted yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// Get returns a revision's configuration; number 0 asks for the newest. It
// returns ErrRevisionNotFound or ErrStoreUnavailable.
func (s *Store) Get(ctx context.Context, number uint64) (View, error) {
	if number == 0 {
		state, err := s.latest(ctx)
		if err != nil {
			return View{}, err
		}
		return state.view(), nil
	}
	state, err := s.at(ctx, number)
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

func (s *Store) readHead(ctx context.Context) (Head, uint64, error) {
	row, err := s.table.Get(ctx, Table, headKey)
	if errors.Is(err, backing.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, unavailable(err)
	}
	var head Head
	if err := msgstream.Unmarshal(row.Value, &head); err != nil {
		return Head{}, 0, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return head, row.Version, nil
}

// latest returns the state of the head row.
func (s *Store) latest(ctx context.Context) (*storeState, error) {
	head, version, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if head.Number == 0 {
		return &storeState{config: &Config{}}, nil
	}
	if cached := s.cached.Load(); cached != nil && cached.head == head && cached.version == version {
		return cached, nil
	}
	state, err := s.at(ctx, head.Number)
	if err != nil {
		return nil, err
	}
	if state.head != head {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("revision %d", head.Number))
	}
	state.version = version
	s.cached.Store(state)
	return state, nil
}

// at returns the state of a revision, from the nearest state before it.
func (s *Store) at(ctx context.Context, number uint64) (*storeState, error) {
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
		rows, err := s.table.Scan(ctx, Table, revisionPrefix, RevisionKey(state.head.Number), pollPage)
		if err != nil {
			return nil, unavailable(err)
		}
		if len(rows) == 0 {
			return nil, merry.Wrap(ErrRevisionNotFound, merry.AppendMessagef("revision %d", number))
		}
		for _, row := range rows {
			if state.head.Number == number {
				break
			}
			if err := state.advance(row.Value); err != nil {
				return nil, err
			}
		}
	}
	return &state, nil
}

// readSnapshot moves state to the newest snapshot up to number, if there is one
// beyond it.
func (s *Store) readSnapshot(ctx context.Context, number uint64, state *storeState) error {
	rows, err := s.table.Scan(ctx, Table, snapshotPrefix, snapshotKey(number+1), 1)
	if err != nil {
		return unavailable(err)
	}
	if len(rows) == 0 {
		return nil
	}
	revision, err := DecodeRevision(rows[0].Value)
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

func (s *storeState) advance(data []byte) error {
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

// stateDigest returns the digest of the state's configuration.
func (s *storeState) stateDigest() model.Digest { return s.change.Delta.StateDigest }

func unavailable(err error) error {
	return merry.Wrap(ErrStoreUnavailable, merry.WithCause(err))
}
