package weights

import "github.com/auburnbend/auburnbend/lib/model"

// Storage stores the data of chunks by digest. Implementations are safe for
// concurrent use. They don't verify the data; Store does.
type Storage interface {
	// Put stores a chunk. A partially written chunk must never become readable.
	Put(digest model.Digest, data []byte) error
	// Get returns the data of a chunk, which the caller must not modify, or an
	// error if the chunk is absent.
	Get(digest model.Digest) ([]byte, error)
	// Stamp returns a value that changes whenever the stored data of a chunk is written
	// or replaced, or an error if the chunk is absent.
	Stamp(digest model.Digest) (Stamp, error)
	// Remove deletes a chunk. Removing an absent chunk is not an error.
	Remove(digest model.Digest) error
}
