package weights

import (
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// MemoryStorage stores chunks in memory.
type MemoryStorage struct {
	mu     sync.RWMutex
	chunks map[model.Digest][]byte
}

// NewMemoryStorage returns an empty storage.
func NewMemoryStorage() *MemoryStorage {
	return &MemoryStorage{chunks: make(map[model.Digest][]byte)}
}

// Put stores data without copying it; the caller must not modify it afterwards.
func (s *MemoryStorage) Put(digest model.Digest, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks[digest] = data
	return nil
}

// Get returns the data of a chunk, or ErrIncomplete if it is absent.
func (s *MemoryStorage) Get(digest model.Digest) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	data, ok := s.chunks[digest]
	if !ok {
		return nil, merry.Wrap(ErrIncomplete, merry.AppendMessagef("chunk %s not found", digest.Short()))
	}
	return data, nil
}

// Stamp returns the zero value: a chunk cannot be changed from outside the process.
func (s *MemoryStorage) Stamp(digest model.Digest) (Stamp, error) {
	_, err := s.Get(digest)
	return Stamp{}, err
}

// Remove deletes a chunk.
func (s *MemoryStorage) Remove(digest model.Digest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.chunks, digest)
	return nil
}
