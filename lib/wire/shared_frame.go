package wire

import (
	"encoding/binary"
	"math"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// minSharedTail is the size in bytes from which data is not copied into its frame.
const minSharedTail = 4 << 10

// nilCode is the encoding of data that is nil.
const nilCode = 0xc0

// tailed is a message that ends with data that may be long.
type tailed interface {
	Message
	// splitTail returns a copy of the message without its data, and the data, which must be
	// the last field.
	splitTail() (Message, []byte)
}

func (m *RequestStart) splitTail() (Message, []byte) {
	head := *m
	head.Body = nil
	return &head, m.Body
}

func (m *ResponseFrame) splitTail() (Message, []byte) {
	head := *m
	head.Data = nil
	return &head, m.Data
}

// encodeShared encodes a message as one frame in two parts. The second is the data of the
// message itself, if that is long, so that it is in memory once.
func encodeShared(m Message) (frame, tail []byte, err error) {
	t, ok := m.(tailed)
	if !ok {
		frame, err = Append(nil, m)
		return frame, nil, err
	}
	head, tail := t.splitTail()
	if len(tail) < minSharedTail {
		frame, err = Append(nil, m)
		return frame, nil, err
	}
	encoded, err := msgpack.Marshal(head)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	// The head ends with nilCode in place of the data.
	encoded = appendBinaryHeader(encoded[:len(encoded)-1], len(tail))
	size := len(encoded) + len(tail)
	if size > MaxFrameBytes {
		return nil, nil, merry.Wrap(ErrFrameTooLarge, merry.AppendMessagef("message of type %d has %d bytes, limit is %d", m.Type(), size, MaxFrameBytes))
	}
	frame = make([]byte, 0, headerSize+len(encoded))
	frame = binary.BigEndian.AppendUint32(frame, uint32(size))
	frame = append(frame, byte(m.Type()))
	return append(frame, encoded...), tail, nil
}

// appendBinaryHeader appends what precedes binary data of a length of at least
// minSharedTail.
func appendBinaryHeader(buf []byte, length int) []byte {
	if length <= math.MaxUint16 {
		return binary.BigEndian.AppendUint16(append(buf, msgpcode.Bin16), uint16(length))
	}
	return binary.BigEndian.AppendUint32(append(buf, msgpcode.Bin32), uint32(length))
}
