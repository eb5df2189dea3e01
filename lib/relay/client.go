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

var errStale = errors.New("instance is behind the store")

// client asks one other instance at a time. It belongs to one goroutine.
type client struct {
	table   string
	silence time.Duration
	// direct asks only instances that read the store themselves.
	direct bool

	to     netip.AddrPort
	conn   net.Conn
	decode *msgstream.Decoder
}

// ask returns the rows that have changed since a revision, or all if it is
// negative. After an error the connection is closed.
func (c *client) ask(ctx context.Context, to netip.AddrPort, since int64, wait time.Duration) (watch.Rows, error) {
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

func (c *client) connect(ctx context.Context, to netip.AddrPort) error {
	if c.conn != nil && c.to == to {
		return nil
	}
	c.close()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return err
	}
	c.to, c.conn, c.decode = to, conn, msgstream.NewDecoder(conn, buffer, answerLimit)
	return nil
}

func (c *client) exchange(ctx context.Context, to netip.AddrPort, since int64, wait time.Duration) (watch.Rows, error) {
	if err := c.connect(ctx, to); err != nil {
		return watch.Rows{}, err
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
		return watch.Rows{}, err
	}
	q := &query{Table: c.table, Since: since, WaitMillis: wait.Milliseconds(), Direct: c.direct}
	if err := msgstream.Encode(conn, q); err != nil {
		return watch.Rows{}, err
	}
	return c.read(conn)
}

// read reads the answer. Signs of life before it put the end of the wait off; so
// does each part of a long one.
func (c *client) read(conn net.Conn) (watch.Rows, error) {
	for {
		if err := conn.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
			return watch.Rows{}, err
		}
		var a answer
		if err := c.decode.Decode(&a); err != nil {
			return watch.Rows{}, err
		}
		switch {
		case a.Alive:
		case a.Stale:
			return watch.Rows{}, errStale
		case a.HistoryLost:
			return watch.Rows{}, watch.ErrHistoryLost
		default:
			return a.unpack()
		}
	}
}

func (a *answer) unpack() (watch.Rows, error) {
	rows := watch.Rows{Revision: a.Revision, AfterOutage: a.AfterOutage}
	for _, r := range a.Rows {
		unpacked, err := unpack(r)
		if err != nil {
			return watch.Rows{}, err
		}
		rows.Rows = append(rows.Rows, unpacked)
	}
	return rows, nil
}
