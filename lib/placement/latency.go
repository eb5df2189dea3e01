package placement

import "time"

// checkLatency refuses a request whose first response is predicted to miss its
// latency target. The prediction uses a prompt of mean length instead of the
// request's own, so that long prompts are refused no more often than short ones.
func (p *Picker) checkLatency(req *Request, s *server, e estimate, now time.Time) *Refusal {
	if req.LatencyTarget <= 0 || req.MayHaveRun {
		return nil
	}
	if 2*s.occupancy(now) < s.slots() {
		// On a server that is less than half full, the wait cannot be long.
		return nil
	}
	limit, predicted := p.latencyLimit(req), s.usualFirstResponse(req, e, 1)
	if predicted <= limit {
		return nil
	}
	after := min(max(predicted-limit, minRetryAfter), maxRetryAfter)
	return &Refusal{Reason: Overloaded, RetryAfter: after, Predicted: predicted}
}

// latencyLimit is the latest predicted first response that is not refused.
func (p *Picker) latencyLimit(req *Request) time.Duration {
	return scale(req.LatencyTarget, p.config.TargetShare)
}

// usualFirstResponse is the predicted time to the first response for a request with a prompt
// of mean length, which takes slowdown times as long as declared.
func (s *server) usualFirstResponse(req *Request, e estimate, slowdown float64) time.Duration {
	if req.Engine == nil {
		return e.firstResponse
	}
	own := prefillTime(req.Engine, req.Engine.MeanPromptTokens, 1) + passTime(req.Engine, s.slots())
	return e.wait + scale(own, slowdown)
}
