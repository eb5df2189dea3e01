package engine

import (
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/network"
)

const (
	// maxHeadBytes limits the head and the trailer of a response.
	maxHeadBytes = 64 << 10
	// maxUnframedBytes limits a body with neither a length nor chunks, which the HTTP client
	// reads whole before it returns the head.
	maxUnframedBytes = maxEventBytes
)

var (
	errHeadTooLong     = merry.Wrap(ErrTooLarge, merry.AppendMessagef("head or trailer exceeds %d bytes", maxHeadBytes))
	errUnframedTooLong = merry.Wrap(ErrTooLarge, merry.AppendMessagef("body without length and chunks exceeds %d bytes", maxUnframedBytes))
)

// boundedConn limits what the HTTP client keeps of a response before the caller of the client
// sees any of it. The client has no limit for heads, trailers and bodies without framing. It
// also checks the status lines, which the client parses leniently.
type boundedConn struct {
	network.Conn
	// kept counts the bytes that the client has taken since it last released its buffers.
	kept int
	// status is that of the last head; zero before a head is read. statusErr is set if a
	// head had none that is valid.
	status    int
	statusErr error
}

// Peek implements network.Reader. It fails if more than maxHeadBytes would have to be read
// ahead, or if the client would keep more than maxUnframedBytes.
func (c *boundedConn) Peek(n int) ([]byte, error) {
	switch {
	case n > maxHeadBytes && n > c.Len():
		return nil, errHeadTooLong
	case c.kept+n > maxUnframedBytes:
		return nil, errUnframedTooLong
	}
	// The client begins to read a head with its first byte.
	if n == 1 && c.status == 0 {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
	}
	return c.Conn.Peek(n)
}

// checkHead checks the status line of a head.
func (c *boundedConn) checkHead() error {
	line, err := c.Conn.Peek(statusLineBytes)
	if err != nil {
		return err
	}
	c.status, c.statusErr = checkStatus(line)
	return c.statusErr
}

// Skip implements network.Reader.
func (c *boundedConn) Skip(n int) error {
	c.kept += n
	if c.status == http.StatusContinue {
		// Another head follows.
		c.status = 0
	}
	return c.Conn.Skip(n)
}

// Release implements network.Reader.
func (c *boundedConn) Release() error {
	c.kept = 0
	return c.Conn.Release()
}

// ToHertzError implements network.ErrorNormalization.
func (c *boundedConn) ToHertzError(err error) error {
	if c.statusErr != nil {
		// The client reports an error at the first byte of a head as the end of the connection.
		return c.statusErr
	}
	if n, ok := c.Conn.(network.ErrorNormalization); ok {
		return n.ToHertzError(err)
	}
	return err
}
