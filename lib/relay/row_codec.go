package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/watch"
)

const (
	// compressThreshold is the size in bytes from which row data is compressed:
	// a configuration of half a megabyte goes to all entries of a region over
	// one link.
	compressThreshold = 1 << 10
	// maxRowSize is the maximum size of uncompressed row data in bytes.
	maxRowSize = 8 << 20
	// maxTableSize is the maximum size in bytes of the uncompressed data of all rows of an
	// answer: compressed rows may be a thousand times as large.
	maxTableSize = 64 << 20
)

var (
	errRowTooLarge   = errors.New("relayed row exceeds the maximum size")
	errTableTooLarge = errors.New("relayed rows exceed the maximum size together")
)

// encodeRow converts a row for sending and compresses its data if it is large.
func encodeRow(r watch.Row) row {
	encoded := row{Key: r.Key, Data: r.Data, Deleted: r.Deleted, Revision: r.Revision, writtenAfter: r.WrittenAfter}
	if len(r.Data) < compressThreshold {
		return encoded
	}
	var b bytes.Buffer
	// These calls cannot fail: the level is valid, and writing to a buffer
	// always succeeds.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(r.Data)
	_ = w.Close()
	encoded.Data, encoded.Compressed = b.Bytes(), true
	return encoded
}

// decodeRow converts a received row and decompresses its data.
func decodeRow(r row) (watch.Row, error) {
	out := watch.Row{Key: r.Key, Data: r.Data, Deleted: r.Deleted, Revision: r.Revision}
	if !r.Compressed {
		return out, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Data)), maxRowSize+1))
	if err != nil {
		return out, merry.Prepend(err, "decompress relayed row")
	}
	if len(data) > maxRowSize {
		return out, errRowTooLarge
	}
	out.Data = data
	return out, nil
}
