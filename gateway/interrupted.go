package gateway

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/directory"
)

// aliveTimeout bounds the check whether a backend server has ended. It is above a
// round trip between regions, and small against the target of a first answer.
const aliveTimeout = 100 * time.Millisecond

// checkAlive opens a connection to a backend server whose connections end before their
// answers: the address of a server that has ended refuses it.
func (g *Gateway) checkAlive(server *directory.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	x, err := upstream.Open(ctx, server.Address)
	if err != nil {
		g.noteUnreachable(server, err)
		return
	}
	x.Close()
}

// endedByPeer reports whether an error of an exchange means that the other end has
// closed or reset the connection.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// silent reports whether an exchange ended because nothing came from the other end:
// the time of the request, of its first answer or of the connection was over.
func silent(request, err error) bool {
	return errors.Is(request, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}
