package gateway

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/placement"
)

// probeTimeout bounds the connection attempt that checks whether a backend server
// has ended. It is longer than a round trip between regions, and short against the
// target of a first response.
const probeTimeout = 100 * time.Millisecond

// recordInterrupted records an exchange that a backend server did not end with a
// response, because the connection was closed or timed out. Malformed and oversized
// responses are not counted: they do not show that the server has ended. If the
// connection was closed, the gateway checks whether the server has ended.
func (r *request) recordInterrupted(ctx context.Context, lease *placement.Lease, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	closed := ctx.Err() == nil && closedByPeer(err)
	if !closed && !timedOut(ctx.Err(), err) {
		return
	}
	g, server := r.gateway, lease.Server
	defer r.endTrial(true)
	x := r.subjects()
	if closed {
		g.config.Log.Log(eventlog.AttemptAborted, "request", r.info.ID, "content", x.content,
			"server", server.ID, "born", server.StartUnixMilli, "service", r.service, "parts", strings.Join(r.info.PromptParts, " "), "err", err)
	}
	g.mu.Lock()
	now := g.now()
	suspected := g.suspects.suspected(now, x)
	ended, firstInterrupted := g.suspects.record(now, server.Key(), x)
	publish := func() {}
	if ended {
		publish = g.recordCrash(server.Key(), []model.Fingerprint{x.content}, x.parts)
	}
	g.mu.Unlock()
	publish()
	switch {
	case ended || !closed:
	case suspected:
		// The content or a part has already crashed servers, so a retry depends on the result of the
		// probe.
		g.probe(server)
	case firstInterrupted:
		go g.probe(server)
	}
}

// probe connects to a backend server whose connections end before their responses.
// If its process has ended, its address refuses the connection, which is recorded.
func (g *Gateway) probe(server *directory.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := upstream.Dial(ctx, server.Address)
	if err != nil {
		g.recordUnreachable(server, err)
		return
	}
	conn.Close()
}

// closedByPeer reports whether an error of an exchange means that the server has
// closed or reset the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// timedOut reports whether an exchange ended because nothing came from the server:
// the deadline of the request, of the first byte or of the connection passed.
func timedOut(request, err error) bool {
	return errors.Is(request, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}
