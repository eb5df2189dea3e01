package wire_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// FuzzRead reads arbitrary bytes as a frame. A message that is read can be sent again.
func FuzzRead(f *testing.F) {
	for _, m := range []wire.Message{&wire.Hello{}, &wire.Heartbeat{}} {
		frame, err := wire.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	for kind := range byte(64) {
		f.Add([]byte{0, 0, 0, 1, kind, 0x80})
		f.Add([]byte{0, 0, 0, 6, kind, 0x81, 0xa1, 'a', 0xdd, 0xff, 0xff})
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := wire.Read(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			for _, known := range []error{io.EOF, io.ErrUnexpectedEOF, wire.ErrFrameTooLarge, wire.ErrUnknownType, wire.ErrMalformed} {
				if errors.Is(err, known) {
					return
				}
			}
			t.Fatal(err)
		}
		frame, err := wire.Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := wire.Read(bufio.NewReader(bytes.NewReader(frame))); err != nil {
			t.Fatalf("message of type %d cannot be read again: %v", m.Type(), err)
		}
	})
}
