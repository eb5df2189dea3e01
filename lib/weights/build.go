package weights

import (
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Build reads a complete set of weights and returns its manifest. All chunks but
// the last have chunkSize bytes, between 1 and MaxChunkSize. The base is zero
// unless the set is an adapter. It returns ErrManifestInvalid if the chunk size
// or the manifest is outside the limits, and read errors of r.
func Build(r io.Reader, object string, base model.Digest, chunkSize int) (*Manifest, error) {
	if chunkSize < 1 || chunkSize > MaxChunkSize {
		return nil, merry.Wrap(ErrManifestInvalid, merry.AppendMessagef("chunk size is %d bytes, must be 1 to %d", chunkSize, MaxChunkSize))
	}
	m := &Manifest{Object: object, Base: base}
	buf := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(r, buf)
		if n > 0 {
			m.Chunks = append(m.Chunks, Chunk{Digest: model.Sum(buf[:n]), Size: uint32(n)})
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return m, m.validate()
		default:
			return nil, merry.Prepend(err, "read weights")
		}
	}
}

// BuildBytes returns the manifest of data, like Build.
func BuildBytes(data []byte, object string, base model.Digest, chunkSize int) (*Manifest, error) {
	return Build(bytes.NewReader(data), object, base, chunkSize)
}
