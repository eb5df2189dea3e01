package placement

import (
	"slices"
	"time"
)

// Reason states why no server was chosen.
type Reason string

// Reasons for a refusal, as logs and metrics name them.
const (
	// NoServer means that no server of the service may run the request.
	NoServer Reason = "no_server"
	// NoHome means that no server of the service is in a region that may serve the
	// request.
	NoHome Reason = "no_home"
	// DomainEvacuated means that all servers that could run the request are in failure
	// domains which the operator evacuates.
	DomainEvacuated Reason = "evacuated"
	// NoWeights means that no server has loaded the required weights.
	NoWeights Reason = "no_weights"
	// Overloaded means that no server can respond in time.
	Overloaded Reason = "overloaded"
	// Paused means that all servers that could run the request have asked for a pause.
	Paused Reason = "paused"
	// Limited means that the servers that could run the request have named a rate limit,
	// or are cold and tolerate only some requests per second, which are reached.
	Limited Reason = "rate_limited"
)

// reasonRank orders the reasons for which servers may not run a request: the highest one
// among the servers is the reason of the refusal.
var reasonRank = map[Reason]int{NoServer: 0, NoHome: 1, DomainEvacuated: 2, NoWeights: 3}

// Refusal describes why a request was not placed.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a placement is expected to succeed.
	RetryAfter time.Duration
	// Predicted is the predicted time to the first response on the best server; zero if
	// there is none.
	Predicted time.Duration
	// MayWait is set if the request may wait in its entry and be placed later, instead of being
	// refused.
	MayWait bool
	// ExcludedServers lists servers that are draining, evacuated, paused, cold or rate-limited, at
	// most a few.
	ExcludedServers []string
}

// retryAfterDivisor limits the retry delay to a fraction of the time that the
// request has left: callers do not wait longer than that.
const retryAfterDivisor = 3

// unavailable refuses a request that no server may run now. New weights arrive
// within seconds, so that the retry delay is then the longest that callers accept:
// those that retried earlier were mostly refused again.
func (p *Picker) unavailable(req *Request, reason Reason, now time.Time) *Refusal {
	refusal := &Refusal{Reason: reason, RetryAfter: unavailableRetryAfter}
	switch {
	case reason != NoWeights:
	case req.Ranked:
		gate := p.gate(req.Service)
		refusal.RetryAfter = gate.RetryAfterUnavailable(req.Remaining)
		// A model that is not declared gets no weights.
		refusal.MayWait = p.config.WaitForPlacement && req.MaxWait > 0 && req.Engine != nil && slices.Contains(req.Engine.Models, req.Model)
		if refusal.MayWait && req.Waited == 0 {
			gate.RecordUnavailable(now, req.Rank)
		}
	case req.Remaining > 0:
		refusal.RetryAfter = min(maxRetryAfter, req.Remaining/retryAfterDivisor)
	}
	return refusal
}
