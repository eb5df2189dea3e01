// Package weights describes sets of weights as content-addressed chunks and
// stores the chunks of one instance.
package weights

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// MaxChunkSize bounds the size of a chunk in bytes, so that it fits into one
// frame between processes.
const MaxChunkSize = 4 << 20

// MaxChunks bounds the number of chunks in a manifest. With chunks of 4 MiB it
// allows 4 TiB, more than any model in use.
const MaxChunks = 1 << 20

// Chunk is one content-addressed part of a set of weights.
type Chunk struct {
	Digest model.Digest `msgpack:"d"`
	// Size is the length in bytes.
	Size uint32 `msgpack:"s"`
}

// Manifest lists the chunks of one version of a model or adapter in order.
type Manifest struct {
	// Object is the name under which the origin and the weight store serve the
	// concatenated chunks.
	Object string `msgpack:"o"`
	// Base is the manifest digest of an adapter's base model, and zero for a base
	// model.
	Base   model.Digest `msgpack:"b"`
	Chunks []Chunk      `msgpack:"c"`
}

// TotalSize returns the sum of the chunk sizes in bytes.
func (m *Manifest) TotalSize() int64 {
	var total int64
	for _, c := range m.Chunks {
		total += int64(c.Size)
	}
	return total
}

// Offset returns the byte offset of a chunk in the object.
func (m *Manifest) Offset(index int) int64 {
	var offset int64
	for _, c := range m.Chunks[:index] {
		offset += int64(c.Size)
	}
	return offset
}

// Encode returns the canonical encoding, from which Digest is computed.
func (m *Manifest) Encode() ([]byte, error) { return msgpack.Marshal(m) }

// Digest returns the digest of the encoding, which identifies the version.
func (m *Manifest) Digest() (model.Digest, error) {
	b, err := m.Encode()
	if err != nil {
		return model.Digest{}, err
	}
	return model.Sum(b), nil
}

// Decode decodes a manifest. It returns ErrManifestDigest if the data doesn't
// have the expected digest, and ErrManifestInvalid if it is malformed or outside
// the limits of the format.
func Decode(data []byte, want model.Digest) (*Manifest, error) {
	if got := model.Sum(data); got != want {
		return nil, merry.Wrap(ErrManifestDigest, merry.AppendMessagef("got %s, want %s", got.Short(), want.Short()))
	}
	var m Manifest
	if err := msgstream.Unmarshal(data, &m); err != nil {
		return nil, merry.Wrap(ErrManifestInvalid, merry.WithCause(err))
	}
	return &m, m.validate()
}

func (m *Manifest) validate() error {
	if m.Object == "" {
		return merry.Wrap(ErrManifestInvalid, merry.AppendMessage("object is empty"))
	}
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return merry.Wrap(ErrManifestInvalid, merry.AppendMessagef("%d chunks, must be 1 to %d", len(m.Chunks), MaxChunks))
	}
	for i, c := range m.Chunks {
		if c.Size == 0 || c.Size > MaxChunkSize {
			return merry.Wrap(ErrManifestInvalid, merry.AppendMessagef("chunk %d has %d bytes, must be 1 to %d", i, c.Size, MaxChunkSize))
		}
	}
	return nil
}
