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
	// packFrom is the size in bytes from which rows are compressed: a configuration
	// of half a megabyte goes to all entries of a region over one link.
	packFrom = 1 << 10
	// rowLimit bounds an unpacked row in bytes.
	rowLimit = 8 << 20
)

var errRowTooLong = errors.New("row is too long")

func pack(r watch.Row) row {
	packed := row{Key: r.Key, Data: r.Data, Deleted: r.Deleted, Revision: r.Revision}
	if len(r.Data) < packFrom {
		return packed
	}
	var b bytes.Buffer
	// Neither call fails: the level is valid, and writes to a buffer succeed.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(r.Data)
	_ = w.Close()
	packed.Data, packed.Packed = b.Bytes(), true
	return packed
}

func unpack(r row) (watch.Row, error) {
	out := watch.Row{Key: r.Key, Data: r.Data, Deleted: r.Deleted, Revision: r.Revision}
	if !r.Packed {
		return out, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Data)), rowLimit+1))
	if err != nil {
		return out, merry.Prepend(err, "relayed row")
	}
	if len(data) > rowLimit {
		return out, errRowTooLong
	}
	out.Data = data
	return out, nil
}
