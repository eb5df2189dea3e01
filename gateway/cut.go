package gateway

import (
	"errors"
	"io"
	"syscall"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
)

// noteCut logs that a backend server's connection ended before its answer did.
// Answers that are late, malformed or too long are other faults.
func (r *request) noteCut(lease *placement.Lease, err error) {
	if r.ctx.Err() != nil || !endedByPeer(err) {
		return
	}
	r.gateway.config.Log.Log(eventlog.AttemptCut, "request", r.call.ID, "content", r.fingerprint(),
		"server", lease.Server.ID, "born", lease.Server.Born, "service", r.service, "err", err)
}

// endedByPeer reports whether an error of an exchange means that the other end has
// closed or reset the connection.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
