// Package wire implements the protocol that entries and agents use with each other and
// among themselves. Over TCP, optionally with TLS, they exchange frames that consist of
// the length of the body as four bytes in big-endian order, one byte for the message
// type, and a body in msgpack.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// MaxFrameBytes is the maximum size of a frame's body in bytes. It suffices for one
// chunk and the other fields of its message.
const MaxFrameBytes = 4<<20 + 64<<10

// headerSize is the size of the length field and the type byte in bytes.
const headerSize = 5

// Append appends a message to buf as one frame. It returns ErrFrameTooLarge if the body
// is larger than MaxFrameBytes.
func Append(buf []byte, m Message) ([]byte, error) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return buf, merry.Wrap(err)
	}
	if len(body) > MaxFrameBytes {
		return buf, merry.Wrap(ErrFrameTooLarge, merry.AppendMessagef("message of type %d has %d bytes, limit is %d", m.Type(), len(body), MaxFrameBytes))
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	buf = append(buf, byte(m.Type()))
	return append(buf, body...), nil
}

// Read decodes the next frame. For an invalid frame it returns ErrFrameTooLarge,
// ErrUnknownType or ErrMalformed. The length is checked before memory is allocated, so
// that a corrupt length cannot exhaust memory.
func Read(r *bufio.Reader) (Message, error) { return readWithin(r, MaxFrameBytes) }

// readWithin is Read for a frame whose body has limit bytes at most.
func readWithin(r *bufio.Reader, limit uint32) (Message, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > limit {
		return nil, merry.Wrap(ErrFrameTooLarge, merry.AppendMessagef("frame of type %d has length %d, limit is %d", header[4], size, limit))
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
