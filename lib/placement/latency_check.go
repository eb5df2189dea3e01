package placement

import (
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
)

// checkLatency refuses a request whose first response is predicted to miss its
// latency target. The prediction uses a prompt of mean length instead of the
// request's own, so that long prompts are refused no more often than short ones.
// Ranked requests are admitted by the gate of their service.
func (p *Picker) checkLatency(req *Request, s *server, e estimate, now time.Time) *Refusal {
	if req.LatencyTarget <= 0 || req.MayHaveRun {
		return nil
	}
	own := e.firstResponse - e.wait
	if req.Engine != nil {
		own = prefillTime(req.Engine, req.Engine.MeanPromptTokens, 1) + passTime(req.Engine, s.slots())
	}
	limit := scale(req.LatencyTarget, p.config.TargetShare)
	predicted := e.wait + own
	if 2*s.occupancy(now) < s.slots() {
		// On a server that is less than half full, the wait cannot be long.
		predicted = 0
	}
	if req.Ranked {
		return p.checkGate(req, predicted, own, limit, now)
	}
	if predicted <= limit {
		return nil
	}
	after := min(max(predicted-limit, minRetryAfter), maxRetryAfter)
	return &Refusal{Reason: Overloaded, RetryAfter: after, Predicted: predicted}
}

// checkGate offers a ranked request to the gate of its service. own is the part of the
// predicted time that other requests do not cause.
func (p *Picker) checkGate(req *Request, predicted, own, limit time.Duration, now time.Time) *Refusal {
	offer := admit.Offer{
		Rank: req.Rank, Team: req.Team, Predicted: predicted, Limit: limit, Waiting: req.Waited > 0, MaxWait: req.MaxWait, Remaining: req.Remaining,
	}
	if req.Waited > 0 {
		if offer.Late = own+req.Waited > limit; !offer.Late {
			offer.Limit -= req.Waited
		}
	}
	verdict := p.gate(req.Service).Decide(now, offer)
	if p.config.OnOverload != nil && verdict.Overload.Change != admit.OverloadUnchanged {
		p.config.OnOverload(req.Service, verdict.Overload)
	}
	if verdict.Decision == admit.Admit {
		return nil
	}
	return &Refusal{Reason: Overloaded, RetryAfter: verdict.RetryAfter, Predicted: predicted, MayWait: verdict.Decision == admit.Wait}
}

// gate returns the gate of a service. Its random source is its own: drawing from that of the
// Picker would change the choice of servers.
func (p *Picker) gate(service string) *admit.Gate {
	g := p.gates[service]
	if g == nil {
		g = admit.NewGate(rand.New(rand.NewPCG(uint64(len(p.gates)), gateSeed)))
		p.gates[service] = g
	}
	return g
}

// gateSeed seeds the random delays of refused callers.
const gateSeed = 0x67617465

// GateStats returns the decisions on ranked requests by service and rank.
func (p *Picker) GateStats(now time.Time) map[string][]admit.RankStats {
	stats := make(map[string][]admit.RankStats, len(p.gates))
	for service, g := range p.gates {
		stats[service] = g.Stats(now)
	}
	return stats
}
