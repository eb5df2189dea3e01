package gateway

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/poison"
)

// quarantinedReason is the reason for refusing a quarantined request.
const quarantinedReason placement.Reason = "quarantined"

// quarantineRefusal returns the refusal of a request whose content or a part of whose
// prompt is quarantined, or nil. It updates blames and ties.
func (r *request) quarantineRefusal() *placement.Refusal {
	g := r.gateway
	r.blames, r.ties = nil, nil
	if r.trial != nil {
		return nil
	}
	g.mu.Lock()
	none := g.suspects.monitor.SuspectCount()+g.suspects.parts.monitor.SuspectCount() == 0
	g.mu.Unlock()
	if none {
		return nil
	}
	x := r.subjects()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r.blames, r.ties = poison.Judge(now, poison.Evidence{Monitor: g.suspects.monitor, Own: []model.Fingerprint{x.content}}, poison.Evidence{Monitor: g.suspects.parts.monitor, Own: x.parts})
	if len(r.blames) == 0 {
		return nil
	}
	for _, blame := range r.blames {
		if i := slices.Index(x.parts, blame.Fingerprint); i >= 0 && !g.suspects.quarantined[blame.Fingerprint] {
			g.suspects.quarantined[blame.Fingerprint] = true
			g.config.Log.Log(eventlog.PartQuarantined, "part", r.info.PromptParts[i], "servers", blame.Crashes, "until", blame.Until)
		}
	}
	return &placement.Refusal{Reason: quarantinedReason, RetryAfter: trialRetryAfter(now, r.blames)}
}

// logQuarantined logs contents that are newly quarantined.
func (g *Gateway) logQuarantined(now time.Time, contents []model.Fingerprint) {
	for _, content := range contents {
		crashes, until := g.suspects.monitor.Crashes(now, content)
		if crashes < quarantineCrashes {
			delete(g.suspects.quarantined, content)
			continue
		}
		if g.suspects.quarantined[content] {
			continue
		}
		g.suspects.quarantined[content] = true
		g.config.Log.Log(eventlog.ContentQuarantined, "content", content, "servers", crashes, "until", until)
	}
}
