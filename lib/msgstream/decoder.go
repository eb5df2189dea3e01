// Package msgstream exchanges msgpack messages over a connection: frames of a
// four-byte big-endian length and a body. A peer in trouble may send anything, also
// without an end, so that lengths are checked before memory is allocated for them.
package msgstream

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrTooLong reports a message over the limit.
var ErrTooLong = errors.New("message is too long")

// lengthSize is the size of a frame's length in bytes.
const lengthSize = 4

// Decoder reads one message after another. It is not safe for concurrent use.
type Decoder struct {
	source *bufio.Reader
	limit  int
}

// NewDecoder returns a Decoder with a buffer of so many bytes, for messages of at
// most limit bytes.
func NewDecoder(source io.Reader, buffer, limit int) *Decoder {
	return &Decoder{source: bufio.NewReaderSize(source, buffer), limit: limit}
}

// Decode reads the next message. After an error the stream is not to be used any
// more.
func (d *Decoder) Decode(into any) error {
	var length [lengthSize]byte
	if _, err := io.ReadFull(d.source, length[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > d.limit {
		return merry.Wrap(ErrTooLong, merry.AppendMessagef("%d bytes, allowed are %d", size, d.limit))
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(d.source, body); err != nil {
		return err
	}
	return Unmarshal(body, into)
}

// Encode writes one message with a single write.
func Encode(to io.Writer, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return merry.Wrap(err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(body)), uint32(len(body)))
	_, err = to.Write(append(frame, body...))
	return err
}
