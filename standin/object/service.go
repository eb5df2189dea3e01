// Package object is a stand-in for the platform's object store.
package object

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/standin/fault"
)

// Service is an in-memory object store that implements backing.ObjectStore. It is safe
// for concurrent use.
type Service struct {
	// Faults injects faults into the service.
	Faults fault.Injector

	// mu protects the fields below.
	mu sync.Mutex
	// putOrder contains the names of all objects, the oldest first.
	putOrder []string
	objects  map[string][]byte
}

// New returns an empty store.
func New() *Service { return &Service{objects: make(map[string][]byte)} }

// Get implements backing.ObjectStore. If the fault StaleBy is set, it does not find the
// objects that were stored last.
func (s *Service) Get(ctx context.Context, name string) ([]byte, error) {
	down, err := s.Faults.BeforeCall(ctx)
	if down || err != nil {
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	stale := s.Faults.Get().StaleBy
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	for _, hidden := range s.putOrder[len(s.putOrder)-min(max(0, stale), len(s.putOrder)):] {
		ok = ok && hidden != name
	}
	if !ok {
		return nil, merry.Wrap(backing.ErrNotFound)
	}
	data = append([]byte(nil), data...)
	if len(data) > 0 && s.Faults.ShouldCorrupt() {
		data[len(data)/2] ^= 1
	}
	return data, nil
}

// PutIfAbsent implements backing.ObjectStore.
func (s *Service) PutIfAbsent(ctx context.Context, name string, data []byte) error {
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
	s.putOrder = append(s.putOrder, name)
	return nil
}
