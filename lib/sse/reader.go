package sse

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrTooLong reports an event over the limit.
var ErrTooLong = errors.New("event is too long")

// ErrTruncated reports a stream that ended within an event.
var ErrTruncated = errors.New("stream ended within an event")

const (
	// initialBuffer holds a usual event.
	initialBuffer = 512
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	src io.Reader
	buf []byte
	// start and end bound the bytes that were read and not yet returned.
	start, end int
	err        error
}

// NewReader returns a Reader of src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, buf: make([]byte, initialBuffer)}
}

// Next returns the next event. It returns io.EOF after the last one and
// ErrTruncated if the stream ends within one. Other errors are those of src.
func (r *Reader) Next() (Event, error) {
	scanned := 0
	for {
		if n := eventEnd(r.buf[r.start:r.end], scanned); n > 0 {
			raw := r.buf[r.start : r.start+n]
			r.start += n
			return parse(raw), nil
		}
		scanned = r.end - r.start
		if r.err != nil {
			return Event{}, r.ended()
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// HasBufferedEvent reports whether Next may return without reading.
func (r *Reader) HasBufferedEvent() bool { return eventEnd(r.buf[r.start:r.end], 0) > 0 }

func (r *Reader) ended() error {
	if errors.Is(r.err, io.EOF) && r.end > r.start {
		return ErrTruncated
	}
	return r.err
}

func (r *Reader) fill() error {
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEvent {
			return ErrTooLong
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.src.Read(r.buf[r.end:])
	r.end += n
	r.err = err
	return nil
}

// eventEnd returns the length of the first event in b, or 0 if it is not
// complete. The first from bytes are known to hold no end, except for a line
// end that the next bytes continue.
func eventEnd(b []byte, from int) int {
	i := max(0, from-3)
	for {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		rest := b[i:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return i + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return i + 2
		}
	}
}

func parse(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		e.HasData = e.HasData || bytes.HasPrefix(line, []byte("data"))
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			e.ID, e.HasID = id, true
		}
	}
	return e
}
