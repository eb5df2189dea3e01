// Package msgstream exchanges msgpack messages over a connection. Each frame consists of
// a four-byte big-endian length and a body. A faulty peer may send arbitrary data, also
// without an end, so lengths are validated before memory is allocated for them.
package msgstream

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrTooLong means that a message exceeds the size limit.
var ErrTooLong = errors.New("message is too long")

// lengthSize is the size of a frame's length field in bytes.
const lengthSize = 4

// Decoder reads a stream of messages. It is not safe for concurrent use.
type Decoder struct {
	source   *bufio.Reader
	maxBytes int
}

// NewDecoder returns a Decoder with a read buffer of the given size in bytes, for
// messages of at most maxBytes bytes.
func NewDecoder(source io.Reader, buffer, maxBytes int) *Decoder {
	return &Decoder{source: bufio.NewReaderSize(source, buffer), maxBytes: maxBytes}
}

// Decode reads the next message. It returns io.EOF at the end of the stream, and an
// error that wraps ErrTooLong or ErrMalformed for invalid messages. After any error the
// Decoder must not be used any more.
func (d *Decoder) Decode(into any) error {
	var length [lengthSize]byte
	if _, err := io.ReadFull(d.source, length[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > d.maxBytes {
		return merry.Wrap(ErrTooLong, merry.AppendMessagef("got %d bytes, limit is %d", size, d.maxBytes))
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(d.source, body); err != nil {
		return err
	}
	return Unmarshal(body, into)
}

// Encode writes one message with a single call of Write.
func Encode(to io.Writer, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return merry.Wrap(err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(body)), uint32(len(body)))
	_, err = to.Write(append(frame, body...))
	return err
}
