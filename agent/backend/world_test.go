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

const settle = 3 * time.Second

func version(name string) model.Weights {
	if name == "" {
		return model.Weights{}
	}
	return model.Weights{Base: model.Sum([]byte(name))}
}

// world is the oracle: an engine that ignores fencing, the network to it, the
// gate and the fetches, as the actions of the machine drive them.
type world struct {
	t   interface{ Fatalf(string, ...any) }
	m   *backend.Machine
	now time.Time

	state             engine.State
	inFlight, running *engine.Order
	// answer is true while the machine waits for the reply to its order.
	answer   bool
	loads    bool // the last order was a load
	finished bool
	lostAt   time.Time

	reading, permitting bool
	lastRead            engine.State
	fetching            model.Weights
	permit              model.Weights
	served              model.Weights
	quiescing           bool
	// idle is true from the end of a quiesce until requests are admitted.
	idle bool
}

func newWorld(t interface{ Fatalf(string, ...any) }) *world {
	return &world{
		t: t, now: time.Unix(1_700_000_000, 0), loads: true, state: engine.State{Incarnation: 1},
		m: backend.NewMachine(backend.Config{Guard: engine.GuardConfig{SettleTime: settle}}, rand.New(rand.NewSource(1))),
	}
}

// drain carries out actions and checks what must hold for each.
func (w *world) drain() {
	for _, a := range w.m.TakeActions() {
		switch a.Kind {
		case backend.ActionFetch:
			w.fetching = a.Weights
		case backend.ActionCancelFetch:
			if w.fetching != a.Weights {
				w.t.Fatalf("cancels the fetch of %s, %s is fetched", a.Weights, w.fetching)
			}
			w.fetching = model.Weights{}
		case backend.ActionPermit:
			w.permitting, w.permit = true, a.Weights
		case backend.ActionQuiesce:
			w.quiescing, w.idle = true, false
		case backend.ActionReadState:
			if w.reading {
				w.t.Fatalf("two reads of state at once")
			}
			w.reading = true
		case backend.ActionServe:
			w.serve(a.Weights)
		case backend.ActionOrder:
			w.order(a.Order)
		}
	}
}

func (w *world) serve(weights model.Weights) {
	// A change of role leaves the weights as they are, so that requests may run
	// beside it.
	if !weights.IsZero() && (w.lastRead.Busy && w.loads || w.lastRead.Weights != weights) {
		w.t.Fatalf("serves %s, the engine reported %+v", weights, w.lastRead)
	}
	if !weights.IsZero() && w.answer && w.loads {
		w.t.Fatalf("serves %s with a load outstanding", weights)
	}
	w.served, w.quiescing = weights, false
	w.idle = w.idle && weights.IsZero()
}

func (w *world) order(o engine.Order) {
	if w.inFlight != nil || w.running != nil {
		w.t.Fatalf("order %s while another is outstanding", o.Fence)
	}
	if o.Kind == engine.OrderLoad && (!w.served.IsZero() || !w.idle) {
		w.t.Fatalf("load %s while requests for %s may run", o.Fence, w.served)
	}
	if o.Kind == engine.OrderLoad && o.Base.Directory != o.Weights.String() {
		w.t.Fatalf("order for %s names the files of %s", o.Weights, o.Base.Directory)
	}
	w.inFlight, w.answer, w.finished, w.loads = &o, true, false, o.Kind == engine.OrderLoad
}

func (w *world) deliver() {
	if w.inFlight == nil {
		return
	}
	if w.inFlight.Kind == engine.OrderLoad && !w.served.IsZero() {
		w.t.Fatalf("load %s arrives while %s is served", w.inFlight.Fence, w.served)
	}
	w.running, w.inFlight = w.inFlight, nil
	w.state.Accepted, w.state.Busy = w.running.Fence, true
	if w.running.Kind == engine.OrderLoad {
		w.state.Weights = model.Weights{}
	}
}

func (w *world) finish(ok bool) {
	if w.running == nil {
		return
	}
	if ok && w.running.Kind == engine.OrderLoad {
		w.state.Weights = w.running.Weights
	}
	if ok && w.running.Kind == engine.OrderRole {
		w.state.Role = w.running.Role
	}
	w.state.Busy, w.running, w.finished = false, nil, true
}

func (w *world) reply(err error) {
	if !w.answer {
		return
	}
	switch {
	case engine.NotStarted(err):
		if w.inFlight == nil {
			return // it was read, so it cannot be refused any more
		}
		w.inFlight = nil
	case err != nil:
		w.lostAt = w.now
	case !w.finished:
		return
	}
	w.answer = false
	w.m.HandleReply(w.now, engine.Reply{}, err)
	w.drain()
}

func (w *world) crash() {
	w.inFlight, w.running = nil, nil
	w.state = engine.State{Incarnation: w.state.Incarnation + 1}
}

func (w *world) readState(err error) {
	if !w.reading {
		return
	}
	w.reading = false
	s := w.state
	if err != nil {
		s = engine.State{}
	} else {
		w.lastRead = s
	}
	w.m.HandleState(w.now, s, err)
	w.drain()
	if err == nil && !w.served.IsZero() && w.served != s.Weights {
		w.t.Fatalf("still serves %s, the engine reported %+v", w.served, s)
	}
}

func (w *world) fetched(err error) {
	if w.fetching.IsZero() {
		return
	}
	f := backend.StagedWeights{Weights: w.fetching, Base: engine.StagedFiles{Directory: w.fetching.String()}}
	w.fetching = model.Weights{}
	w.m.HandleFetched(w.now, f, err)
	w.drain()
}

func (w *world) permitted(granted bool) {
	if w.permitting {
		w.permitting = false
		w.m.HandlePermit(w.now, w.permit, granted, time.Second)
		w.drain()
	}
}

func (w *world) quiesced() {
	if w.quiescing {
		w.idle, w.quiescing = true, false
		w.m.HandleQuiesced(w.now)
		w.drain()
	}
}

// pass lets time go by. An order that was not read within the settle time of
// its loss is gone with its connection.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	if w.inFlight != nil && !w.answer && w.now.Sub(w.lostAt) >= settle {
		w.inFlight = nil
	}
	w.m.Tick(w.now)
	w.drain()
}

// cooperate lets everything succeed until the machine has had time to finish.
func (w *world) cooperate() {
	for range 200 {
		w.progress()
		w.reply(engine.ErrMayHaveRun) // an order that died with the engine
	}
}

// progress lets each thing that is under way succeed.
func (w *world) progress() {
	w.deliver()
	w.finish(true)
	w.reply(nil)
	w.readState(nil)
	w.fetched(nil)
	w.permitted(true)
	w.quiesced()
	w.pass(time.Second)
}

// check compares the machine with the gate at any time.
func (w *world) check(*rapid.T) {
	if live := w.m.Live(); live != w.served {
		w.t.Fatalf("live is %s, served is %s", live, w.served)
	}
	if w.m.Phase() == wire.PhaseLive && w.m.Live() != w.m.Wanted() {
		w.t.Fatalf("phase live with %s, wanted is %s", w.m.Live(), w.m.Wanted())
	}
}
