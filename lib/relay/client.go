package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/watch"
)

// errStale is returned if the instance asked must not be followed.
var errStale = errors.New("relaying instance is not up to date with the store")

// client queries one other instance at a time. It is not safe for concurrent
// use.
type client struct {
	table string
	// answerTimeout is the time limit for sending a query and for each read of
	// an answer. heldTimeout replaces it for queries with hold that do not wait
	// for changes, to which keep-alive messages come more often.
	answerTimeout, heldTimeout time.Duration
	// direct restricts queries to instances that read the store themselves.
	direct bool
	// standIn and hold are those of queries.
	standIn bool
	hold    time.Duration
	// limit is when the wait for an answer ends; zero if only timeouts end it. confirmed is
	// called at each keep-alive message with the age of the rows of the instance, or while it
	// holds the query; behind with their age if it must not be followed. Both may be nil.
	limit     time.Time
	confirmed func(age rowAge, held bool) (limit time.Time)
	behind    func(age rowAge)

	// dial connects to an instance; dialTCP if it is nil.
	dial    func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	remote  netip.AddrPort
	conn    net.Conn
	decoder *msgstream.Decoder
	// progress extends the deadline of conn while a long answer arrives.
	progress *progressReader
	// number is the number of the last query on conn.
	number uint64
	// arrival returns the earliest time at which data may have arrived that is read now;
	// nil if the age of rows is not tracked.
	arrival func() time.Time
	// knownAt is the earliest time at which the rows of the last answer were current, or
	// zero if that is unknown.
	knownAt time.Time
}

// fetch returns the rows that changed after a state, or all rows if its revision is
// negative. It waits up to wait for a change. It returns watch.ErrHistoryLost
// if all rows must be read. After any other error the connection is closed.
func (c *client) fetch(ctx context.Context, to netip.AddrPort, since watch.Position, wait time.Duration) (watch.Rows, error) {
	rows, err := c.exchange(ctx, to, since, wait)
	if err != nil && !errors.Is(err, watch.ErrHistoryLost) {
		c.close()
	}
	return rows, err
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", to.String())
}

func (c *client) connect(ctx context.Context, to netip.AddrPort) error {
	if c.conn != nil && c.remote == to {
		return nil
	}
	c.close()
	dial := c.dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, to)
	if err != nil {
		return err
	}
	c.use(to, conn)
	return nil
}

// use makes a new connection to an instance the current one.
func (c *client) use(to netip.AddrPort, conn net.Conn) {
	c.remote, c.conn, c.number = to, conn, 0
	c.progress = &progressReader{conn: conn, total: c.answerTimeout}
	c.decoder = msgstream.NewDecoder(c.progress, bufferSize, maxAnswerSize)
}

func (c *client) exchange(ctx context.Context, to netip.AddrPort, since watch.Position, wait time.Duration) (watch.Rows, error) {
	if err := c.connect(ctx, to); err != nil {
		return watch.Rows{}, err
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		if !stop() {
			// The connection is closed, or will be at any moment.
			c.conn = nil
		}
	}()
	timeout := c.answerTimeout
	if c.hold > 0 && wait <= 0 {
		timeout = c.heldTimeout
	}
	if err := conn.SetWriteDeadline(c.deadline(timeout)); err != nil {
		return watch.Rows{}, err
	}
	c.number++
	q := &query{Table: c.table, Since: since.Revision, NextEra: since.Era + 1, WaitMillis: wait.Milliseconds(), Direct: c.direct, StandIn: c.standIn, HoldMillis: c.hold.Milliseconds(), Number: c.number}
	if err := msgstream.Encode(conn, q); err != nil {
		return watch.Rows{}, err
	}
	return c.read(conn, since, timeout)
}

// read reads the answer to the last query, and ignores answers to earlier ones, which an
// instance may send once more. Instances of earlier releases answer without a number. Each
// keep-alive message and each part of a long answer extends the deadline. Instances of earlier
// releases compare revisions only, so that their answers may be of another era.
func (c *client) read(conn net.Conn, since watch.Position, timeout time.Duration) (watch.Rows, error) {
	for {
		if err := c.progress.begin(c.deadline(timeout)); err != nil {
			return watch.Rows{}, err
		}
		var a answer
		if err := c.decoder.Decode(&a); err != nil {
			return watch.Rows{}, err
		}
		switch {
		case a.Alive && c.confirmed != nil:
			// Instances of earlier releases hold no queries and do not tell the age.
			c.limit = c.confirmed(a.Confirmed, a.Confirmed == 0 && c.hold > 0)
		case a.Alive, a.Number != 0 && a.Number != c.number:
		case a.Stale, !a.HistoryLost && a.Era < since.Era:
			if c.behind != nil {
				c.behind(a.Confirmed)
			}
			return watch.Rows{}, errStale
		case a.HistoryLost, since.Revision >= 0 && a.Era > since.Era:
			return watch.Rows{}, watch.ErrHistoryLost
		default:
			rows, err := a.rows()
			c.setAges(&rows, &a)
			return rows, err
		}
	}
}

// deadline returns when a read ends that may take a time.
func (c *client) deadline(timeout time.Duration) time.Time {
	at := time.Now().Add(timeout)
	if !c.limit.IsZero() && c.limit.Before(at) {
		return c.limit
	}
	return at
}

// setAges sets the bounds on the age of the rows of an answer.
func (c *client) setAges(rows *watch.Rows, a *answer) {
	c.knownAt = time.Time{}
	if c.arrival == nil {
		return
	}
	arrival := c.arrival()
	c.knownAt = a.Age.since(arrival)
	for i := range rows.Rows {
		rows.Rows[i].WrittenAfter = a.Rows[i].Age.since(arrival)
	}
}

func (a *answer) rows() (watch.Rows, error) {
	rows := watch.Rows{Era: a.Era, Revision: a.Revision, AfterOutage: a.AfterOutage, Relayed: true, OutageEnd: min(a.OutageEnd, a.Revision)}
	if a.AfterOutage && a.OutageEnd == 0 {
		rows.OutageEnd = a.Revision
	}
	size := 0
	for _, r := range a.Rows {
		decoded, err := decodeRow(r)
		if err != nil {
			return watch.Rows{}, err
		}
		if size += len(decoded.Data); size > maxTableSize {
			return watch.Rows{}, errTableTooLarge
		}
		rows.Rows = append(rows.Rows, decoded)
	}
	return rows, nil
}
