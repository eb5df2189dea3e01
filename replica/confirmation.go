package replica

import (
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/peerlink"
)

// confirm records that an entry knows what an earlier process of this agent verified.
func (r *Replica) confirm(v *peerlink.Verified) {
	r.confirmed.Store(&loadStamp{startUnixMilli: v.StartUnixMilli, ordersAccepted: v.OrdersAccepted})
	r.wakeRun()
}

// trustConfirmed trusts what an earlier process had loaded if an entry confirms that the
// process verified it. An engine that was loading at the start of this process, has accepted
// an order since, or holds a corrupt piece isn't trusted. Nothing else opens such an engine
// but a verification: also if no manifest can be had, corrupt weights must not be served.
func (r *Replica) trustConfirmed(state *EngineState) {
	if r.initial == nil || *r.initial != state.stamp() || r.trusts(state) || state.Busy {
		return
	}
	if confirmed := r.confirmed.Load(); confirmed != nil && *confirmed == *r.initial {
		r.trusted.Store(r.initial)
		r.config.Log.Log(eventlog.WeightsConfirmed, "weights", len(state.Weights), "orders", state.OrdersAccepted)
		r.wakeReporter()
		return
	}
	if !r.unverifiedLogged && r.config.Clock.Now().Sub(r.initialReadAt) >= unverifiedLogDelay {
		r.unverifiedLogged = true
		r.config.Log.Log(eventlog.WeightsUnverified, "weights", len(state.Weights), "orders", state.OrdersAccepted)
	}
}
