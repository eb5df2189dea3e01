package sse_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/auburnbend/auburnbend/lib/sse"
)

// FuzzReader reads arbitrary bytes as a stream, at once and byte by byte. Events must be the
// bytes of the stream in order, whichever way they arrive.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{"", "\n", "\r", "\r\n", ": c\n\n", "id: 1\ndata: x\n\n", "id: 1\rdata: x\r\rid: 2\r\r", "data: x\r\n\r\nid:-1\r\n\r\n", "id: 99999999999999999999\n\n", "data", "\n\r\n\r\r", "id: 1\nid: 2\nretry: 5\nevent: error\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, errWhole := readStream(bytes.NewReader(data))
		if len(whole) > len(data) || !bytes.HasPrefix(data, whole) {
			t.Fatalf("%q from %q", whole, data)
		}
		if errors.Is(errWhole, io.EOF) != (len(whole) == len(data)) {
			t.Fatalf("%d of %d bytes, then %v", len(whole), len(data), errWhole)
		}
		single, errSingle := readStream(iotest.OneByteReader(bytes.NewReader(data)))
		if !bytes.Equal(whole, single) || !errors.Is(errSingle, errWhole) {
			t.Fatalf("at once %q, %v; byte by byte %q, %v", whole, errWhole, single, errSingle)
		}
	})
}

// readStream returns the concatenated events of a stream, and the error at its end.
func readStream(src io.Reader) ([]byte, error) {
	r := sse.NewReader(src)
	var all []byte
	for {
		e, err := r.Next()
		if err != nil {
			return all, err
		}
		if len(e.Raw) == 0 {
			return all, errors.New("event without bytes")
		}
		all = append(all, e.Raw...)
	}
}
