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
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/placement"
)

// aliveTimeout bounds the check whether a backend server has ended. It is above a
// round trip between regions, and small against the target of a first answer.
const aliveTimeout = 100 * time.Millisecond

// noteInterrupted takes note of an exchange that a backend server has not ended with
// an answer: it has closed the connection or fallen silent. Answers that are
// malformed or too long are other faults. Where the server has closed the connection,
// the gateway checks whether it has ended.
func (r *request) noteInterrupted(lease *placement.Lease, err error) {
	if errors.Is(r.ctx.Err(), context.Canceled) {
		return
	}
	closed := r.ctx.Err() == nil && endedByPeer(err)
	if !closed && !silent(r.ctx.Err(), err) {
		return
	}
	g, server := r.gateway, lease.Server
	content := r.fingerprint()
	if closed {
		g.config.Log.Log(eventlog.AttemptAborted, "request", r.call.ID, "content", content,
			"server", server.ID, "born", server.StartUnixMilli, "service", r.service, "err", err)
	}
	g.mu.Lock()
	now := g.now()
	known, _ := g.suspects.monitor.Crashes(now, content)
	start := startID(server.Key())
	ended, first := g.suspects.attributor.Interrupted(now, start, content)
	spread := func() {}
	if ended {
		spread = g.crashed(server.Key(), []model.Fingerprint{content})
	} else {
		g.suspects.starts[start] = server.Key()
	}
	g.mu.Unlock()
	spread()
	switch {
	case ended || !closed:
	case known > 0:
		// Whether it may be repeated depends on what is found.
		g.checkAlive(server)
	case first:
		go g.checkAlive(server)
	}
}

// checkAlive opens a connection to a backend server whose connections end before their
// answers: the address of a server that has ended refuses it.
func (g *Gateway) checkAlive(server *directory.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	x, err := upstream.Dial(ctx, server.Address)
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
