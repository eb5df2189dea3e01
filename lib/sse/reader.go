package sse

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrTooLong means that an event exceeds 1 MiB.
var ErrTooLong = errors.New("event is too long")

// ErrTruncated means that the stream ended within an event.
var ErrTruncated = errors.New("stream ended within an event")

const (
	// initialBufferBytes is enough for a typical event.
	initialBufferBytes = 512
	maxEventBytes      = 1 << 20
	// freeBytes is the buffer that a Reader has without room for a long event.
	freeBytes = 16 << 10
)

// Room is memory for a long event.
type Room interface {
	// Acquire waits for room for a number of bytes.
	Acquire(bytes int) error
	// Release returns the room.
	Release()
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	src io.Reader
	buf []byte
	// buf[start:end] contains the bytes that were read but not yet returned.
	start, end int
	err        error
	// room is nil if the memory for events is not limited; hasRoom is set while it is taken.
	room    Room
	hasRoom bool
}

// NewReader returns a Reader that reads from src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, buf: make([]byte, initialBufferBytes)}
}

// NewReaderInRoom returns a Reader that reads from src and takes room for events over 16 KiB.
// Room that it has taken must be released with Close.
func NewReaderInRoom(src io.Reader, room Room) *Reader {
	r := NewReader(src)
	r.room = room
	return r
}

// Close returns the room of a long event. The last event must no longer be used.
func (r *Reader) Close() {
	if r.hasRoom {
		r.hasRoom, r.buf = false, nil
		r.start, r.end, r.err = 0, 0, io.ErrClosedPipe
		r.room.Release()
	}
}

// Next returns the next event. It returns io.EOF after the last event, ErrTruncated if
// the stream ends within an event and ErrTooLong for an event over 1 MiB. Other errors
// are those of src and of the room.
func (r *Reader) Next() (Event, error) {
	var scan scanner
	for {
		if n := scan.eventLength(r.buf[r.start:r.end], errors.Is(r.err, io.EOF)); n > 0 {
			raw := r.buf[r.start : r.start+n]
			r.start += n
			return parseEvent(raw), nil
		}
		if r.err != nil {
			return Event{}, r.endError()
		}
		if err := r.read(); err != nil {
			return Event{}, err
		}
	}
}

// HasBufferedEvent reports whether Next returns an event without reading from src.
func (r *Reader) HasBufferedEvent() bool {
	return (&scanner{}).eventLength(r.buf[r.start:r.end], false) > 0
}

func (r *Reader) endError() error {
	if errors.Is(r.err, io.EOF) && r.end > r.start {
		return ErrTruncated
	}
	return r.err
}

func (r *Reader) read() error {
	if r.hasRoom && r.end-r.start < initialBufferBytes {
		buf := make([]byte, initialBufferBytes)
		r.end = copy(buf, r.buf[r.start:r.end])
		r.buf, r.start, r.hasRoom = buf, 0, false
		r.room.Release()
	}
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEventBytes {
			return ErrTooLong
		}
		if len(r.buf) >= freeBytes && r.room != nil && !r.hasRoom {
			// Room for part of an event could be waited for in vain by all that have such parts.
			if err := r.room.Acquire(maxEventBytes); err != nil {
				return err
			}
			r.hasRoom = true
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.src.Read(r.buf[r.end:])
	r.end += n
	r.err = err
	return nil
}

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw, IsIgnorable: true}
	isLineEnd := func(r rune) bool { return r == '\n' || r == '\r' }
	for line := range bytes.FieldsFuncSeq(raw, isLineEnd) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch string(name) {
		case "", "retry":
			continue
		case "data":
			e.HasData = true
		case "event":
			e.Type = string(bytes.TrimSpace(value))
		case "id":
			// The last ID of an event counts.
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			e.ID, e.HasID = id, err == nil && id >= 0
		}
		e.IsIgnorable = false
	}
	return e
}
