package weights

import (
	"context"
	"errors"
	"io"
	"io/fs"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// DefaultMaxBytes is the size limit of a store if the settings give none.
const DefaultMaxBytes = 64 << 30

// maxVerifiers bounds the number of chunks that a verification holds in memory.
const maxVerifiers = 4

// StoreConfig holds the parameters of a Store.
type StoreConfig struct {
	// Storage stores the data. The default is a MemoryStorage.
	Storage Storage
	// MaxBytes bounds the sum of the chunk sizes. The default is DefaultMaxBytes.
	MaxBytes int64
}

func (c *StoreConfig) applyDefaults() {
	if c.Storage == nil {
		c.Storage = NewMemoryStorage()
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
}

// Store holds the verified chunks of one instance by digest, so that versions
// and adapters share chunks. It is safe for concurrent use. Its lock covers the
// index but not reads and writes of chunk data.
type Store struct {
	cfg StoreConfig

	mu       sync.Mutex
	sizes    map[model.Digest]uint32
	retained map[model.Digest]struct{}
	bytes    int64
}

// NewStore returns an empty store.
func NewStore(cfg StoreConfig) *Store {
	cfg.applyDefaults()
	return &Store{
		cfg:      cfg,
		sizes:    make(map[model.Digest]uint32),
		retained: make(map[model.Digest]struct{}),
	}
}

// SetRetained replaces the set of manifests whose chunks must be kept. Other
// chunks are kept until Prune or until their space is needed, so that reverting
// a version change needs no second transfer.
func (s *Store) SetRetained(manifests ...*Manifest) {
	retained := make(map[model.Digest]struct{})
	for _, m := range manifests {
		for _, c := range m.Chunks {
			retained[c.Digest] = struct{}{}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retained = retained
}

// Prune deletes all chunks that no retained manifest uses.
func (s *Store) Prune() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evict(s.bytes)
}

// Put verifies and stores a chunk. It returns ErrChunkCorrupt if the data
// doesn't match the chunk's size and digest, and ErrStoreFull if the size limit
// is reached.
func (s *Store) Put(c Chunk, data []byte) error {
	if len(data) != int(c.Size) || model.Sum(data) != c.Digest {
		return merry.Wrap(ErrChunkCorrupt, merry.AppendMessagef("chunk %s, got %d of %d bytes", c.Digest.Short(), len(data), c.Size))
	}
	held, err := s.reserve(c)
	if err != nil || held {
		return err
	}
	if err := s.cfg.Storage.Put(c.Digest, data); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.bytes -= int64(c.Size)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.sizes[c.Digest]; ok {
		s.bytes -= int64(c.Size) // a concurrent Put of the same chunk has also counted it
	}
	s.sizes[c.Digest] = c.Size
	return nil
}

// reserve counts the bytes of a chunk that is about to be written, or reports
// that it is already held.
func (s *Store) reserve(c Chunk) (held bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.sizes[c.Digest]; ok {
		return true, nil
	}
	if over := s.bytes + int64(c.Size) - s.cfg.MaxBytes; over > 0 {
		if err := s.evict(over); err != nil {
			return false, err
		}
	}
	if s.bytes+int64(c.Size) > s.cfg.MaxBytes {
		return false, merry.Wrap(ErrStoreFull, merry.AppendMessagef("%d of %d bytes used, chunk has %d", s.bytes, s.cfg.MaxBytes, c.Size))
	}
	s.bytes += int64(c.Size)
	return false, nil
}

// evict deletes chunks that aren't retained until the given number of bytes is
// freed or none is left. The caller holds the lock.
func (s *Store) evict(need int64) error {
	for digest, size := range s.sizes {
		if need <= 0 {
			return nil
		}
		if _, ok := s.retained[digest]; ok {
			continue
		}
		if err := s.cfg.Storage.Remove(digest); err != nil {
			return err
		}
		delete(s.sizes, digest)
		s.bytes -= int64(size)
		need -= int64(size)
	}
	return nil
}

// Has reports whether a chunk is held.
func (s *Store) Has(digest model.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.sizes[digest]
	return ok
}

// Bytes returns the sum of the sizes of the held chunks.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Get returns the data of a held chunk after checking its digest. It returns
// ErrIncomplete if the chunk cannot be read and ErrChunkCorrupt if its data is not
// intact. A chunk that is corrupt, or whose file was deleted, is dropped.
func (s *Store) Get(digest model.Digest) ([]byte, error) {
	s.mu.Lock()
	size, ok := s.sizes[digest]
	s.mu.Unlock()
	if !ok {
		return nil, merry.Wrap(ErrIncomplete, merry.AppendMessagef("chunk %s not found", digest.Short()))
	}
	data, err := s.cfg.Storage.Get(digest)
	if err == nil && (len(data) != int(size) || model.Sum(data) != digest) {
		err = merry.Wrap(ErrChunkCorrupt, merry.AppendMessagef("chunk %s, got %d of %d bytes", digest.Short(), len(data), size))
	}
	if err == nil {
		return data, nil
	}
	if errors.Is(err, ErrChunkCorrupt) || errors.Is(err, fs.ErrNotExist) {
		s.drop(digest)
	}
	return nil, err
}

// Have returns a bitmap of the held chunks of a manifest.
func (s *Store) Have(m *Manifest) Bitmap {
	have := NewBitmap(len(m.Chunks))
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range m.Chunks {
		if _, ok := s.sizes[c.Digest]; ok {
			have.Set(i)
		}
	}
	return have
}

// Verify reads all chunks of a manifest and checks their digests. It drops those that
// are corrupt or cannot be read, so that the transfer fetches them again, and returns
// ErrChunkCorrupt or ErrIncomplete for the first of them. It reads several chunks at a
// time, because an instance serves nothing while its loaded files are verified.
func (s *Store) Verify(m *Manifest) error { return s.verify(context.Background(), m) }

// verify is like Verify. If ctx ends first, it returns the error of ctx.
func (s *Store) verify(ctx context.Context, m *Manifest) error {
	var (
		workers sync.WaitGroup
		next    atomic.Int64
		mu      sync.Mutex
		failed  = len(m.Chunks)
		first   error
	)
	for range min(maxVerifiers, runtime.GOMAXPROCS(0), len(m.Chunks)) {
		workers.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(m.Chunks) && ctx.Err() == nil; i = int(next.Add(1)) - 1 {
				if _, err := s.read(m.Chunks[i]); err != nil {
					mu.Lock()
					if i < failed {
						failed, first = i, merry.Prependf(err, "chunk %d of %d", i, len(m.Chunks))
					}
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	if first == nil {
		return ctx.Err()
	}
	return first
}

// Assemble writes the concatenated chunks in the order of the manifest and
// verifies each one. After an error the output is invalid.
func (s *Store) Assemble(m *Manifest, w io.Writer) error {
	for i, c := range m.Chunks {
		data, err := s.read(c)
		if err != nil {
			return merry.Prependf(err, "chunk %d of %d", i, len(m.Chunks))
		}
		if _, err := w.Write(data); err != nil {
			return merry.Wrap(err)
		}
	}
	return nil
}

// read returns the data of a chunk of a manifest. It drops a chunk that Get cannot return.
func (s *Store) read(c Chunk) ([]byte, error) {
	data, err := s.Get(c.Digest)
	if err == nil && len(data) != int(c.Size) {
		err = merry.Wrap(ErrChunkCorrupt, merry.AppendMessagef("chunk %s has %d bytes, want %d", c.Digest.Short(), len(data), c.Size))
	}
	if err != nil {
		s.drop(c.Digest)
		return nil, err
	}
	return data, nil
}

func (s *Store) drop(digest model.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size, ok := s.sizes[digest]; ok {
		delete(s.sizes, digest)
		s.bytes -= int64(size)
		_ = s.cfg.Storage.Remove(digest)
	}
}
