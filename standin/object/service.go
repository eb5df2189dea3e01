// Package object is the stand-in of the platform's object store.
package object

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/standin/fault"
)

// Service is an in-memory object store. It implements backing.ObjectStore and
// is safe for concurrent use.
type Service struct {
	// Faults are the fault switches of the service.
	Faults fault.Switch

	mu      sync.Mutex
	names   []string
	objects map[string][]byte
}

// New returns an empty store.
func New() *Service { return &Service{objects: make(map[string][]byte)} }

// Get implements backing.ObjectStore. With StaleBy set, the objects that were
// stored last are not seen yet.
func (s *Service) Get(ctx context.Context, name string) ([]byte, error) {
	down, err := s.Faults.Enter(ctx)
	if down || err != nil {
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	stale := s.Faults.Get().StaleBy
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	for _, hidden := range s.names[len(s.names)-min(max(0, stale), len(s.names)):] {
		ok = ok && hidden != name
	}
	if !ok {
		return nil, merry.Wrap(backing.ErrNotFound)
	}
	data = append([]byte(nil), data...)
	if len(data) > 0 && s.Faults.CorruptNext() {
		data[len(data)/2] ^= 1
	}
	return data, nil
}

// PutIfAbsent implements backing.ObjectStore.
func (s *Service) PutIfAbsent(ctx context.Context, name string, data []byte) error {
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
	err = s.put(name, data)
	if loss == fault.LossAfter {
		return merry.Wrap(backing.ErrUnknown)
	}
	return err
}

func (s *Service) put(name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; ok {
		return merry.Wrap(backing.ErrExists)
	}
	s.objects[name] = append([]byte(nil), data...)
	s.names = append(s.names, name)
	return nil
}
