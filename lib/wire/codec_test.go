package wire_test

import (
	"bufio"
	"bytes"
	"encoding/binary"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// frame encodes a frame with any length, type and body.
func frame(size uint32, messageType byte, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, size)
	return append(append(b, messageType), body...)
}

var _ = Describe("Frames", func() {
	// Guards against invalid frames that crash the reader, exhaust memory or are
	// accepted as messages.
	DescribeTable("are rejected if they are invalid",
		func(input []byte, want error) {
			_, err := wire.Read(bufio.NewReader(bytes.NewReader(input)))
			Expect(err).To(MatchError(want))
		},
		Entry("length above the limit", frame(wire.MaxFrameBytes+1, byte(wire.TypeHello), nil), wire.ErrFrameTooLarge),
		Entry("unknown type", frame(0, 250, nil), wire.ErrUnknownType),
		Entry("body that is not msgpack", frame(3, byte(wire.TypeHello), []byte{0xc1, 0xc1, 0xc1}), wire.ErrMalformed),
	)

	It("are not encoded if they exceed the size limit", func() {
		_, err := wire.Append(nil, &wire.ChunkData{Data: make([]byte, wire.MaxFrameBytes)})
		Expect(err).To(MatchError(wire.ErrFrameTooLarge))
	})

	It("are decoded to the messages that were encoded, in order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sent := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *wire.ResponseFrame {
				return &wire.ResponseFrame{
					Attempt:  "attempt",
					Sequence: rapid.Uint64().Draw(t, "sequence"),
					Data:     rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "data"),
				}
			}), 1, 8).Draw(t, "frames")
			var buf []byte
			for _, m := range sent {
				var err error
				if buf, err = wire.Append(buf, m); err != nil {
					t.Fatal(err)
				}
			}
			r := bufio.NewReader(bytes.NewReader(buf))
			for _, want := range sent {
				got, err := wire.Read(r)
				if err != nil {
					t.Fatal(err)
				}
				frame, ok := got.(*wire.ResponseFrame)
				if !ok || frame.Sequence != want.Sequence || !bytes.Equal(frame.Data, want.Data) {
					t.Fatalf("got %+v, want %+v", got, want)
				}
			}
		})
	})

	// Guards against a reader that panics on invalid data.
	It("are read without a panic, whatever their content", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			body := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body")
			messageType := rapid.Byte().Draw(t, "kind")
			_, _ = wire.Read(bufio.NewReader(bytes.NewReader(frame(uint32(len(body)), messageType, body))))
		})
	})
})
