package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/watch"
)

// FuzzAnswer reads arbitrary bytes as the answer of another instance. A result must be
// within bounds, and the call must end when the bytes do.
func FuzzAnswer(f *testing.F) {
	for _, a := range []answer{
		{Alive: true},
		{Stale: true},
		{HistoryLost: true},
		{Revision: -1 << 62},
		{Revision: 3, AfterOutage: true, Rows: []row{{Key: "k", Data: []byte("x"), Revision: 3}, {Key: "d", Deleted: true}}},
		{Rows: []row{{Key: "k", Data: []byte("no DEFLATE"), Compressed: true}, encodeRow(watch.Row{Key: "z", Data: bytes.Repeat([]byte{0}, 10*compressThreshold)})}},
	} {
		var b bytes.Buffer
		if err := msgstream.Encode(&b, &a); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add(binary.BigEndian.AppendUint32(nil, maxAnswerSize))
	f.Fuzz(func(t *testing.T, data []byte) {
		here, there := net.Pipe()
		defer here.Close()
		go func() {
			defer there.Close()
			var q query
			if msgstream.NewDecoder(there, bufferSize, maxQuerySize).Decode(&q) == nil {
				_, _ = there.Write(data)
			}
		}()
		to := netip.MustParseAddrPort("127.0.0.1:1")
		c := client{table: "t", answerTimeout: 10 * time.Second}
		c.use(to, here)
		rows, err := c.fetch(context.Background(), to, at(-1), 0)
		if err != nil {
			return
		}
		size := 0
		for _, r := range rows.Rows {
			size += len(r.Data)
		}
		if size > maxTableSize || len(rows.Rows) > len(data) {
			t.Fatalf("%d rows of %d bytes from %d bytes", len(rows.Rows), size, len(data))
		}
		cache := NewCache(Config{})
		cache.replace(rows, false, time.Unix(1000, 0))
		cache.changesSince(at(-1))
	})
}

// FuzzQuery answers arbitrary bytes as a query.
func FuzzQuery(f *testing.F) {
	for _, q := range []query{{Table: "t", Since: -1}, {Table: "t", Since: 1 << 62, WaitMillis: -1 << 62}, {Table: "x", Direct: true}} {
		data, err := msgpack.Marshal(&q)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var q query
		if msgstream.Unmarshal(data, &q) != nil {
			return
		}
		q.WaitMillis = min(q.WaitMillis, 0)
		cache := NewCache(Config{})
		cache.replace(watch.Rows{Revision: 2, Rows: []watch.Row{{Key: "k", Revision: 2}}}, true, time.Now())
		here, there := net.Pipe()
		defer here.Close()
		go func() {
			defer there.Close()
			_ = NewServer(map[string]*Cache{"t": cache}, func() bool { return false }).answer(context.Background(), there, &q)
		}()
		var a answer
		if err := msgstream.NewDecoder(here, bufferSize, maxAnswerSize).Decode(&a); err != nil {
			t.Fatal(err)
		}
	})
}
