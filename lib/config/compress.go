package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxMerged bounds the uncompressed changes of a merged revision, so that
// damaged data cannot claim memory. A whole configuration is far smaller.
const maxMerged = 16 << 20

// compress shortens data that repeats the names of fields.
func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return buf.Bytes(), nil
}

// decompress returns ErrMalformed for damaged or too long data.
func decompress(data []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMerged+1))
	if err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if len(raw) > maxMerged {
		return nil, merry.Wrap(ErrMalformed, merry.AppendMessagef("more than %d bytes", maxMerged))
	}
	return raw, nil
}
