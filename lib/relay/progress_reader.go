package relay

import (
	"net"
	"time"
)

const (
	// longMessage is the size in bytes from which a message is no keep-alive.
	longMessage = 64
	// stallFraction is the part of the time limit of a message without data after which it
	// ends although the limit has not passed.
	stallFraction = 0.25
)

// progressReader reads messages and extends the deadline of one that arrives slowly: a table may
// take longer than the time after which a silent instance is left.
type progressReader struct {
	conn net.Conn
	// total is the time limit from the first data of a message on.
	total    time.Duration
	deadline time.Time
	size     int
	latest   time.Time
}

// begin sets the deadline for the first data of a message.
func (r *progressReader) begin(deadline time.Time) error {
	r.deadline, r.size = deadline, 0
	return r.conn.SetReadDeadline(deadline)
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if err != nil {
		return n, err
	}
	now := time.Now()
	if r.size == 0 {
		r.latest = now.Add(r.total)
	}
	if r.size += n; r.size < longMessage {
		return n, nil
	}
	extended := now.Add(fraction(r.total, stallFraction))
	if r.latest.Before(extended) {
		extended = r.latest
	}
	if r.deadline.Before(extended) {
		r.deadline = extended
		err = r.conn.SetReadDeadline(extended)
	}
	return n, err
}
