package weights

import "github.com/auburnbend/auburnbend/lib/model"

// Storage keeps chunk bytes by digest. Implementations are safe for concurrent
// use. They don't verify: Store does.
type Storage interface {
	// Put keeps a chunk. A partly written chunk must never become readable.
	Put(digest model.Digest, data []byte) error
	// Get returns the bytes of a chunk, which the caller doesn't modify, or an
	// error if the chunk is absent.
	Get(digest model.Digest) ([]byte, error)
	// Remove frees a chunk. Removing an absent chunk is not an error.
	Remove(digest model.Digest) error
}
