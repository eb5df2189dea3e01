package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxMergedBytes limits the uncompressed delta of a merged revision, so that
// damaged data cannot make the process allocate much memory. A whole
// configuration is far smaller.
const maxMergedBytes = 16 << 20

// compress deflates an encoded delta, which repeats field names many times.
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

// decompress inflates data. It returns ErrMalformed if the data is damaged or
// inflates to more than maxMergedBytes.
func decompress(data []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMergedBytes+1))
	if err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if len(raw) > maxMergedBytes {
		return nil, merry.Wrap(ErrMalformed, merry.AppendMessagef("merged delta is larger than %d bytes", maxMergedBytes))
	}
	return raw, nil
}
