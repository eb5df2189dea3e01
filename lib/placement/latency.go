package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
)

// checkLatency refuses a request whose first response is predicted to miss its
// latency target. The prediction uses a prompt of mean length instead of the
// request's own, so that long prompts are refused no more often than short ones.
// Of ranked requests, the gate of their service determines the limit.
func (p *Picker) checkLatency(req *Request, s *server, e estimate, now time.Time) *Refusal {
	if !req.hasLatencyLimit() || s.isHalfEmpty(now) {
		return nil
	}
	limit, predicted := p.latencyLimit(req), s.usualFirstResponse(req, e, 1)
	if req.Ranked {
		o := p.offer(req, s, e, now)
		limit, predicted = p.gate(req.Service).Limit(now, o), o.Predicted
	}
	if predicted <= limit {
		return nil
	}
	after := min(max(predicted-limit, minRetryAfter), maxRetryAfter)
	return &Refusal{Reason: Overloaded, RetryAfter: after, Predicted: predicted}
}

// hasLatencyLimit reports whether the request is refused if it would be answered late.
func (r *Request) hasLatencyLimit() bool { return r.LatencyTarget > 0 && !r.MayHaveRun }

// isHalfEmpty reports whether the server is less than half full, so that the wait there cannot
// be long.
func (s *server) isHalfEmpty(now time.Time) bool { return 2*s.occupancy(now) < s.slots() }

// hasRoom reports whether the server can take a request of any rank: it has a free slot and its
// predicted first response is within half of the latency target. Refusing the request would
// leave the slot empty.
func (s *server) hasRoom(req *Request, predicted time.Duration, now time.Time) bool {
	return s.isHalfEmpty(now) || s.occupancy(now) < s.slotsFor(req) && 2*predicted <= req.LatencyTarget
}

// latencyLimit is the latest predicted first response that is not refused without overload.
func (p *Picker) latencyLimit(req *Request) time.Duration {
	return scale(req.LatencyTarget, p.config.TargetShare)
}

// usualFirstResponse is the predicted time to the first response for a request with a prompt
// of mean length, which takes slowdown times as long as declared.
func (s *server) usualFirstResponse(req *Request, e estimate, slowdown float64) time.Duration {
	return e.wait + scale(s.usualOwnTime(req, e), slowdown)
}

// usualOwnTime is the part of usualFirstResponse that other requests do not cause.
func (s *server) usualOwnTime(req *Request, e estimate) time.Duration {
	if req.Engine == nil {
		return e.firstResponse - e.wait
	}
	return prefillTime(req.Engine, req.Engine.MeanPromptTokens, 1) + passTime(req.Engine, s.slots())
}

// offer describes a ranked request to the gate of its service, as it would be placed on a
// server.
func (p *Picker) offer(req *Request, s *server, e estimate, now time.Time) admit.Offer {
	o := admit.Offer{
		Rank: req.Rank, Team: req.Team, Limit: p.latencyLimit(req), Waiting: req.Waited > 0, MaxWait: req.MaxWait, Remaining: req.Remaining,
	}
	if !p.config.WaitForPlacement {
		o.MaxWait = 0
	}
	if predicted := s.usualFirstResponse(req, e, 1); !s.hasRoom(req, predicted, now) {
		o.Predicted = predicted
	}
	if req.Waited > 0 {
		if o.Late = s.usualOwnTime(req, e)+req.Waited > o.Limit; !o.Late {
			o.Limit -= req.Waited
		}
	}
	return o
}
