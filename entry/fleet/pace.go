package fleet

import (
	"errors"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/pace"
	"github.com/auburnbend/auburnbend/lib/route"
)

// defaultSlots is assumed for an agent that has not reported how many requests its server
// runs concurrently.
const defaultSlots = 16

// pickPaced picks an instance whose window is not full. If no other one may take the request,
// also with more capacity, it picks any. A request does not wait for a place in a window: such
// an instance is idle and would seem to be the best one. The caller must hold f.mu.
func (f *Fleet) pickPaced(now time.Time, request *route.Request) (route.Choice, error) {
	allowed, full := request.Allowed, false
	paced := *request
	paced.Allowed = func(key route.Key) bool {
		if !allowed(key) {
			return false
		}
		if f.windowFull(now, key) {
			full = true
			return false
		}
		return true
	}
	choice, err := f.picker.Pick(now, &paced)
	if refusal := new(route.Refusal); full && errors.As(err, &refusal) && refusal.NoCandidate {
		return f.picker.Pick(now, request)
	}
	return choice, err
}

// windowFull reports whether a server that has just started or was ejected has as many
// requests as it may have. The caller must hold f.mu.
func (f *Fleet) windowFull(now time.Time, key route.Key) bool {
	if f.pacer.servers[key] == nil {
		return false
	}
	own, total := f.limiter(key).InFlight(), 0
	if m, ok := f.view.Member(key.Instance); ok {
		total = m.Heartbeat.Load.Running + m.Heartbeat.Load.Queued
	}
	return f.pacer.full(key, own, max(own, total), f.slots(key), now)
}

// slots returns the number of requests that a server runs concurrently. The caller must hold
// f.mu.
func (f *Fleet) slots(key route.Key) int {
	if m, ok := f.view.Member(key.Instance); ok && m.Heartbeat.Load.Capacity > 0 {
		return m.Heartbeat.Load.Capacity
	}
	return defaultSlots
}

// ConcurrencyLimited returns the number of servers whose concurrency is limited because they
// have just started or were ejected.
func (f *Fleet) ConcurrencyLimited() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pacer.limited(f.cfg.Clock.Now())
}

// reportPace logs the begin or end of a limit.
func (f *Fleet) reportPace(key route.Key, cause pace.Cause, limited bool, duration time.Duration) {
	if limited {
		f.cfg.Log.Log(eventlog.BackendServerPaced, "instance", key.Instance, "reason", cause)
		return
	}
	f.cfg.Log.Log(eventlog.BackendServerUnpaced, "instance", key.Instance, "reason", cause, "after_ms", duration.Milliseconds())
}
