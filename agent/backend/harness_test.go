package backend_test

import (
	"math/rand"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	settleTime         = 3 * time.Second
	maxVerificationAge = 2 * time.Second
)

func version(name string) model.Weights {
	if name == "" {
		return model.Weights{}
	}
	return model.Weights{Base: model.Sum([]byte(name))}
}

// harness simulates everything around a Machine: an engine that ignores fencing, the
// network to it, the gate, and the fetches. It fails the test if an action of the
// machine violates an invariant.
type harness struct {
	t   interface{ Fatalf(string, ...any) }
	m   *backend.Machine
	now time.Time

	state engine.State
	// corrupt is true if the engine has read other bytes than those of the weights that
	// it reports. foreign is an order of a previous agent, which loads corrupt files.
	corrupt bool
	foreign *engine.Order
	// spoilt is true if the staged files are corrupt now. verifying is a verification in
	// progress, lastVerified the end of the last one that succeeded.
	spoilt       bool
	verifying    *backend.Action
	lastVerified time.Time
	// recorded is the record that the machine has stored.
	recorded backend.LoadRecord
	// inFlight is an order on its way to the engine, running one that it executes.
	inFlight, running *engine.Order
	// awaitingReply is true while the machine waits for the reply to its order.
	awaitingReply  bool
	lastOrderLoads bool // true if the last order was a load
	finished       bool // true if the engine has executed the last order
	replyLostAt    time.Time

	// reading and permitting are true while a state read or a permit request is pending.
	reading, permitting bool
	lastRead            engine.State
	fetching            model.Weights
	permit              model.Weights
	served              model.Weights
	quiescing           bool
	// noRequests is true from the end of a quiesce until requests are admitted.
	noRequests bool
}

func newHarness(t interface{ Fatalf(string, ...any) }) *harness {
	h := &harness{t: t, now: time.Unix(1_700_000_000, 0), lastOrderLoads: true, state: engine.State{Incarnation: 1}}
	h.startMachine(backend.LoadRecord{})
	return h
}

// startMachine replaces the machine by one that starts with the record of its
// predecessor.
func (h *harness) startMachine(recorded backend.LoadRecord) {
	h.m = backend.NewMachine(backend.Config{
		Guard: engine.GuardConfig{SettleTime: settleTime}, Recorded: recorded, MaxVerificationAge: maxVerificationAge,
	}, rand.New(rand.NewSource(1)))
	h.recorded = recorded
}

// executeActions carries out the machine's actions and checks the invariants of each.
func (h *harness) executeActions() {
	for _, a := range h.m.TakeActions() {
		switch a.Kind {
		case backend.ActionFetch:
			h.fetching = a.Weights
		case backend.ActionCancelFetch:
			if h.fetching != a.Weights {
				h.t.Fatalf("fetch of %s canceled while %s is being fetched", a.Weights, h.fetching)
			}
			h.fetching = model.Weights{}
		case backend.ActionPermit:
			h.permitting, h.permit = true, a.Weights
		case backend.ActionQuiesce:
			h.quiescing, h.noRequests = true, false
		case backend.ActionReadState:
			if h.reading {
				h.t.Fatalf("state read requested while another is pending")
			}
			h.reading = true
		case backend.ActionServe:
			h.serve(a.Weights)
		case backend.ActionVerifyStaged, backend.ActionVerifyLoaded:
			h.verifying = &a
		case backend.ActionRecord:
			h.recorded = a.Record
		case backend.ActionOrder:
			h.order(a.Order)
		}
	}
}

func (h *harness) serve(weights model.Weights) {
	// A change of role does not change the weights, so requests may run during it.
	if !weights.IsZero() && (h.lastRead.Busy && h.lastOrderLoads || h.lastRead.Weights != weights) {
		h.t.Fatalf("%s served, but the engine reported %+v", weights, h.lastRead)
	}
	if !weights.IsZero() && h.corrupt {
		h.t.Fatalf("%s served, but the engine has loaded corrupt files", weights)
	}
	if !weights.IsZero() && h.awaitingReply && h.lastOrderLoads {
		h.t.Fatalf("%s served while a load is outstanding", weights)
	}
	h.served, h.quiescing = weights, false
	h.noRequests = h.noRequests && weights.IsZero()
}

func (h *harness) order(o engine.Order) {
	if h.inFlight != nil || h.running != nil {
		h.t.Fatalf("order %s sent while another is outstanding", o.Fence)
	}
	if o.Kind == engine.OrderLoad && (!h.served.IsZero() || !h.noRequests) {
		h.t.Fatalf("load %s sent while requests for %s may be running", o.Fence, h.served)
	}
	if o.Kind == engine.OrderLoad && o.Base.Directory != o.Weights.String() {
		h.t.Fatalf("order for %s lists the files of %s", o.Weights, o.Base.Directory)
	}
	if o.Kind == engine.OrderLoad && h.now.Sub(h.lastVerified) > maxVerificationAge {
		h.t.Fatalf("load %s sent %s after its files were verified", o.Fence, h.now.Sub(h.lastVerified))
	}
	if o.Kind == engine.OrderLoad && h.recorded != (backend.LoadRecord{}) {
		h.t.Fatalf("load %s sent while a load is recorded", o.Fence)
	}
	h.inFlight, h.awaitingReply, h.finished, h.lastOrderLoads = &o, true, false, o.Kind == engine.OrderLoad
}

// deliver makes the engine receive the order in flight.
func (h *harness) deliver() {
	if h.inFlight == nil {
		return
	}
	if h.inFlight.Kind == engine.OrderLoad && !h.served.IsZero() {
		h.t.Fatalf("load %s received while %s is served", h.inFlight.Fence, h.served)
	}
	h.running, h.inFlight = h.inFlight, nil
	h.state.Accepted, h.state.Busy = h.running.Fence, true
	if h.running.Kind == engine.OrderLoad {
		h.state.Weights = model.Weights{}
	}
}

// finish ends the running order.
func (h *harness) finish(ok bool) {
	if h.running == nil {
		return
	}
	if ok && h.running.Kind == engine.OrderLoad {
		h.state.Weights, h.corrupt = h.running.Weights, h.running == h.foreign || h.spoilt
	}
	if ok && h.running.Kind == engine.OrderRole {
		h.state.Role = h.running.Role
	}
	h.state.Busy, h.running, h.finished = false, nil, true
}

// reply delivers the reply to the outstanding order. If err is not nil, the reply is
// lost or the order refused.
func (h *harness) reply(err error) {
	if !h.awaitingReply {
		return
	}
	switch {
	case engine.NotStarted(err):
		if h.inFlight == nil {
			return // already received, so it can no longer be refused
		}
		h.inFlight = nil
	case err != nil:
		h.replyLostAt = h.now
	case !h.finished:
		return
	}
	h.awaitingReply = false
	h.m.HandleReply(h.now, engine.Reply{}, err)
	h.executeActions()
}

func (h *harness) crash() {
	h.inFlight, h.running = nil, nil
	h.state = engine.State{Incarnation: h.state.Incarnation + 1}
}

func (h *harness) readState(err error) {
	if !h.reading {
		return
	}
	h.reading = false
	s := h.state
	if err != nil {
		s = engine.State{}
	} else {
		h.lastRead = s
	}
	h.m.HandleState(h.now, s, err)
	h.executeActions()
	if err == nil && !h.served.IsZero() && h.served != s.Weights {
		h.t.Fatalf("%s still served, but the engine reported %+v", h.served, s)
	}
}

func (h *harness) fetched(err error) {
	if h.fetching.IsZero() {
		return
	}
	staged := backend.StagedWeights{Weights: h.fetching, Base: engine.StagedFiles{Directory: h.fetching.String()}, VerifiedAt: h.now}
	if err == nil {
		h.spoilt, h.lastVerified = false, h.now
	}
	h.fetching = model.Weights{}
	h.m.HandleFetched(h.now, staged, err)
	h.executeActions()
}

// verified ends a verification. Files that are corrupt stay so, so that a load of them
// is never verified.
func (h *harness) verified() {
	a := h.verifying
	if a == nil {
		return
	}
	h.verifying = nil
	staged, err := a.Staged, error(nil)
	staged.VerifiedAt = h.now
	if h.spoilt {
		err = engine.ErrIncomplete
	} else {
		h.lastVerified = h.now
	}
	h.m.HandleVerified(h.now, a.Number, staged, err)
	h.executeActions()
}

func (h *harness) permitted(granted bool) {
	if h.permitting {
		h.permitting = false
		h.m.HandlePermit(h.now, h.permit, granted, time.Second)
		h.executeActions()
	}
}

func (h *harness) quiesced() {
	if h.quiescing {
		h.noRequests, h.quiescing = true, false
		h.m.HandleQuiesced(h.now)
		h.executeActions()
	}
}

// advanceTime advances the clock and ticks the machine. An order that the engine has
// not received within the settle time after its reply was lost is dropped.
func (h *harness) advanceTime(d time.Duration) {
	h.now = h.now.Add(d)
	if h.inFlight != nil && !h.awaitingReply && h.now.Sub(h.replyLostAt) >= settleTime {
		h.inFlight = nil
	}
	h.m.Tick(h.now)
	h.executeActions()
}

// runToCompletion makes all operations succeed for long enough that the wanted version
// becomes live.
func (h *harness) runToCompletion() {
	for range 200 {
		h.completePending()
		h.reply(engine.ErrMayHaveRun) // for an order lost in a crash of the engine
	}
}

// completePending makes each pending operation succeed.
func (h *harness) completePending() {
	h.deliver()
	h.finish(true)
	h.reply(nil)
	h.verified()
	h.readState(nil)
	h.fetched(nil)
	h.permitted(true)
	h.quiesced()
	h.advanceTime(time.Second)
}

// checkInvariants checks that the machine and the gate agree. It may be called at any
// time.
func (h *harness) checkInvariants(*rapid.T) {
	if live := h.m.Live(); live != h.served {
		h.t.Fatalf("live weights are %s, but %s is served", live, h.served)
	}
	if h.m.Phase() == wire.PhaseLive && h.m.Live() != h.m.Wanted() {
		h.t.Fatalf("phase is live with weights %s, want %s", h.m.Live(), h.m.Wanted())
	}
}
