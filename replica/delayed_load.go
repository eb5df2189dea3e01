package replica

import (
	"net/netip"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/peerlink"
)

// mayBeUsed reports whether an entry may send requests that name a version, by a report on
// layers that the engine held before.
func (r *Replica) mayBeUsed(p *pendingVersion, state *EngineState) bool {
	return r.openReports.mayBeUsed(p.model, p.version, state.StartUnixMilli, r.config.Clock.Now())
}

// delaysLoad is like mayBeUsed. While it returns true, entries are asked to acknowledge that
// the engine is closed.
func (r *Replica) delaysLoad(p *pendingVersion, state *EngineState) bool {
	delayed, now := r.mayBeUsed(p, state), r.config.Clock.Now()
	switch was := r.loadDelayed.Swap(delayed); {
	case delayed && !was:
		r.loadDelayedAt = now
		r.wakeReporter()
	case was && !delayed:
		r.config.Log.Log(eventlog.LoadDelayed, "model", p.model, "version", p.version, "orders", state.OrdersAccepted, "delay_ms", now.Sub(r.loadDelayedAt).Milliseconds())
	}
	return delayed
}

// acknowledge records that an entry has applied a report of this process.
func (r *Replica) acknowledge(entry netip.AddrPort, a *peerlink.ReportAck) {
	r.openReports.acknowledged(entry, a, r.config.Clock.Now())
	if r.loadDelayed.Load() {
		r.wakeRun()
	}
}
