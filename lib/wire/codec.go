// Package wire is the protocol between the system's own processes: frames of a
// four-byte big-endian length, one byte of type and a msgpack body over TCP.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// MaxFrameBytes bounds a frame in bytes: one chunk and its envelope.
const MaxFrameBytes = 4<<20 + 64<<10

// headerSize is the length field and the type byte.
const headerSize = 5

// Append encodes a message as one frame at the end of buf.
func Append(buf []byte, m Message) ([]byte, error) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return buf, merry.Wrap(err)
	}
	if len(body) > MaxFrameBytes {
		return buf, merry.Wrap(ErrFrameTooLarge, merry.AppendMessagef("type %d has %d bytes, allowed are %d", m.Type(), len(body), MaxFrameBytes))
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	buf = append(buf, byte(m.Type()))
	return append(buf, body...), nil
}

// Read decodes the next frame. The length is checked before memory is
// allocated, so that a corrupt length cannot exhaust memory.
func Read(r *bufio.Reader) (Message, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > MaxFrameBytes {
		return nil, merry.Wrap(ErrFrameTooLarge, merry.AppendMessagef("type %d claims %d bytes, allowed are %d", header[4], size, MaxFrameBytes))
	}
	m := newMessage(Type(header[4]))
	if m == nil {
		return nil, merry.Wrap(ErrUnknownType, merry.AppendMessagef("type %d", header[4]))
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if err := msgstream.Unmarshal(body, m); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.AppendMessagef("type %d", header[4]), merry.WithCause(err))
	}
	return m, nil
}
