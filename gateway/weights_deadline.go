package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// startMargin is how long before a version deadline requests that wait on older
// weights are taken from their server. It covers the delay to the server on a link that
// is not narrowed.
const startMargin = 200 * time.Millisecond

// weightsDeadline is when a server may no longer begin a request for a model because its
// weights will be too old; zero if they will not be. The predicted wait is too short
// when most engines change their weights at the same time and the remaining ones get
// all requests. The end of the connection waits on the server's link as its opening did.
// The caller holds mu.
func (g *Gateway) weightsDeadline(server *directory.Server, model string, opening time.Duration) time.Time {
	w, known := server.Weights[model]
	if !known {
		return time.Time{}
	}
	deadline := g.versions.Deadline(model, w.Version)
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-startMargin - opening)
}

// beginWait sets the read deadline of an attempt whose connection is open to the deadline
// of its weights, and lets it follow what becomes known of versions until endWait.
func (r *request) beginWait(a *attempt) time.Time {
	g, server := r.gateway, a.lease.Server
	if len(server.Weights) == 0 {
		return time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.model = requestedModel(server, r.weightsModel())
	a.weightsDeadline = g.weightsDeadline(server, a.model, a.opening)
	a.conn.SetReadDeadline(a.weightsDeadline)
	g.waiting[a] = struct{}{}
	return a.weightsDeadline
}

// limitWait sets a further read deadline of an attempt that waits; zero sets none.
func (g *Gateway) limitWait(a *attempt, deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.readDeadline = deadline
	a.conn.SetReadDeadline(earlier(a.weightsDeadline, deadline))
}

// endWait makes the read deadline of an attempt independent of its weights.
func (g *Gateway) endWait(a *attempt) {
	if len(a.lease.Server.Weights) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, a)
}

// updateWaits sets the read deadlines of all attempts that wait, after a change of the
// declared versions, their ages or the time limit. The caller holds mu.
func (g *Gateway) updateWaits() {
	for a := range g.waiting {
		deadline := g.weightsDeadline(a.lease.Server, a.model, a.opening)
		if !deadline.Equal(a.weightsDeadline) {
			a.weightsDeadline = deadline
			a.conn.SetReadDeadline(earlier(deadline, a.readDeadline))
		}
	}
}

// earlier returns the earlier one of two deadlines. Zero stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
