package gateway

import (
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/poison"
	"github.com/auburnbend/auburnbend/peerlink"
)

// trialSettle is how long a request waits for the announcements of other entries before it
// is the trial of what it is refused for: several round trips between regions.
const trialSettle = 100 * time.Millisecond

// trialTime is the usual time of a whole response.
const trialTime = time.Second

// admit returns the refusal of a quarantined request, or nil. A request that is refused when
// a trial is due becomes the trial, unless that of another request precedes it.
func (r *request) admit() *placement.Refusal {
	refusal := r.quarantineRefusal()
	if refusal == nil || !r.planTrial() {
		return refusal
	}
	select {
	case <-time.After(trialSettle):
	case <-r.ctx.Done():
	}
	r.beginTrial()
	return r.quarantineRefusal()
}

// planTrial announces the trial of all that the request is refused for. It returns false if
// not all of it may be tried now.
func (r *request) planTrial() bool {
	g, now := r.gateway, r.gateway.now()
	gossip := &peerlink.Gossip{}
	g.mu.Lock()
	planned := make([]poison.Blame, 0, len(r.blames))
	for _, b := range r.blames {
		update, ok := b.Monitor.PlanTrial(now, b.Fingerprint)
		if !ok {
			break
		}
		g.suspects.addTo(gossip, b.Monitor, update)
		planned = append(planned, b)
	}
	all := len(planned) == len(r.blames)
	if !all {
		gossip = &peerlink.Gossip{}
		for _, b := range planned {
			b.Monitor.Withdraw(now, b.Fingerprint)
		}
	}
	g.mu.Unlock()
	g.broadcast(gossip)
	return all
}

// beginTrial makes the request the trial that it has announced, if no other one precedes it
// and the request has not ended.
func (r *request) beginTrial() {
	g, now := r.gateway, r.gateway.now()
	gossip := &peerlink.Gossip{}
	g.mu.Lock()
	begun := make([]poison.Blame, 0, len(r.blames))
	for _, b := range r.blames {
		if r.ctx.Err() != nil {
			g.suspects.addTo(gossip, b.Monitor, b.Monitor.Withdraw(now, b.Fingerprint))
			continue
		}
		update, ok := b.Monitor.BeginTrial(now, b.Fingerprint)
		g.suspects.addTo(gossip, b.Monitor, update)
		if ok {
			begun = append(begun, b)
		}
	}
	if len(begun) == len(r.blames) {
		r.trial = begun
	} else {
		for _, b := range begun {
			g.suspects.addTo(gossip, b.Monitor, b.Monitor.EndTrial(now, b.Fingerprint, false))
		}
	}
	g.mu.Unlock()
	g.broadcast(gossip)
	if r.trial != nil {
		g.config.Log.Log(eventlog.QuarantineTrial, "request", r.info.ID, "content", r.fingerprint(), "parts", strings.Join(r.info.PromptParts, " "))
	}
}

// endTrial ends the trial of the request, if it is one. lost is set if its server may have
// crashed.
func (r *request) endTrial(lost bool) {
	if r.trial == nil {
		return
	}
	g, now := r.gateway, r.gateway.now()
	gossip := &peerlink.Gossip{}
	g.mu.Lock()
	for _, b := range r.trial {
		g.suspects.addTo(gossip, b.Monitor, b.Monitor.EndTrial(now, b.Fingerprint, lost))
	}
	g.mu.Unlock()
	r.trial = nil
	g.broadcast(gossip)
}

// trialRetryAfter returns when a caller that is refused for all of blames may retry, at the
// latest: when the quarantine ends. If the servers crashed together, it is when a trial has
// probably ended.
func trialRetryAfter(now time.Time, blames []poison.Blame) time.Duration {
	var delay time.Duration
	for _, b := range blames {
		until := b.Until
		if t := b.Monitor.NextTrial(now, b.Fingerprint); t.Joint {
			until = now.Add(max(0, t.Due.Sub(now)) + trialTime)
		}
		delay = max(delay, until.Sub(now))
	}
	return delay
}
