package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

const (
	// freeFrameBytes is the size of a RequestStart that needs no room.
	freeFrameBytes = 16 << 10
	// maxStartHead limits the fields of a RequestStart before its body. Entries limit each of
	// them to 1 KiB or less.
	maxStartHead = bufferSize / 2
	// bodyKey is the key of RequestStart.Body.
	bodyKey = "b"
)

// BodyRoom reserves room for a body of a tenant. It does not block, and returns false if
// there is none.
type BodyRoom func(tenant model.Tenant, bytes int64) (*memory.Shared, bool)

// LimitBodies makes Receive reserve room for the body of each long request before it reads
// it. A body without room is dropped as it arrives. It must be called before Receive.
func (c *Conn) LimitBodies(room BodyRoom) { c.bodyRoom = room }

// readHeld is Read that reserves room for the body of a RequestStart.
func readHeld(r *bufio.Reader, room BodyRoom) (Message, error) {
	header, err := r.Peek(headerSize)
	if err != nil {
		if err == io.EOF && len(header) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:4]))
	if Type(header[4]) != TypeRequestStart || size <= freeFrameBytes || size > MaxFrameBytes {
		return Read(r)
	}
	if _, err := r.Discard(headerSize); err != nil {
		return nil, err
	}
	head, err := r.Peek(min(size, maxStartHead))
	if err != nil {
		return nil, err
	}
	end, offset, ok := msgstream.LastField(head, size, bodyKey)
	if !ok {
		return nil, merry.Wrap(ErrMalformed, merry.AppendMessage("request whose body is not its last field"))
	}
	m := &RequestStart{}
	if err := msgstream.Unmarshal(append(slices.Clone(head[:end]), nilCode), m); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.AppendMessagef("type %d", TypeRequestStart), merry.WithCause(err))
	}
	if _, err := r.Discard(offset); err != nil {
		return nil, err
	}
	if m.Room, ok = room(m.Tenant, int64(size-offset)); !ok {
		m.BodyDropped = true
		_, err = r.Discard(size - offset)
		return m, err
	}
	m.Body = make([]byte, size-offset)
	if _, err := io.ReadFull(r, m.Body); err != nil {
		m.Room.Release()
		return nil, err
	}
	return m, nil
}
