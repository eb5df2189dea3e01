package placement

import (
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
)

// gateSeed seeds the random delays of refused callers.
const gateSeed = 0x67617465

// admit decides on a request for which a server has been chosen. Requests without a rank are
// refused as choose has found. Ranked ones are offered to the gate of their service, once.
func (p *Picker) admit(req *Request, chosen *candidate, refusal *Refusal, now time.Time) *Refusal {
	if !req.Ranked || !req.hasLatencyLimit() {
		return refusal
	}
	offer := p.offer(req, chosen.server, chosen.estimate, now)
	verdict := p.gate(req.Service).Decide(now, offer)
	p.reportOverload(req.Service, verdict.Overload)
	if verdict.Decision == admit.Admit {
		return nil
	}
	return &Refusal{Reason: Overloaded, RetryAfter: verdict.RetryAfter, Predicted: offer.Predicted, MayWait: verdict.Decision == admit.Wait}
}

// reportOverload reports the begin or the end of an overload.
func (p *Picker) reportOverload(service string, o admit.Overload) {
	if p.config.OnOverload != nil && o.Change != admit.OverloadUnchanged {
		p.config.OnOverload(service, o)
	}
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

// GateStats returns the decisions on ranked requests by service and rank.
func (p *Picker) GateStats(now time.Time) map[string][]admit.RankStats {
	stats := make(map[string][]admit.RankStats, len(p.gates))
	for service, g := range p.gates {
		stats[service] = g.Stats(now)
	}
	return stats
}
