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
)

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	src io.Reader
	buf []byte
	// buf[start:end] contains the bytes that were read but not yet returned.
	start, end int
	err        error
}

// NewReader returns a Reader that reads from src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, buf: make([]byte, initialBufferBytes)}
}

// Next returns the next event. It returns io.EOF after the last event, ErrTruncated if
// the stream ends within an event and ErrTooLong for an event over 1 MiB. Other errors
// are those of src.
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
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEventBytes {
			return ErrTooLong
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
