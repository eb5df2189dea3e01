package replica

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// scriptedEngine returns a state that a test sets and counts orders. Its pieces are intact.
type scriptedEngine struct {
	state EngineState
	// onPiece is called before a piece is read; it may be nil.
	onPiece func(piece int)
	orders  int
	// onOrder is called with each order; it may be nil.
	onOrder func()
	// orderErr is returned for each order.
	orderErr error
}

func (e *scriptedEngine) State(context.Context) (EngineState, error) { return e.state, nil }

func (e *scriptedEngine) StagePiece(context.Context, string, int, []byte) error { return nil }

func (e *scriptedEngine) Piece(_ context.Context, _ string, piece int) ([]byte, error) {
	if e.onPiece != nil {
		e.onPiece(piece)
	}
	return []byte{byte(piece)}, nil
}

func (e *scriptedEngine) StagedPieces(context.Context, string) ([]int, error) {
	return nil, errNoResponse
}

func (e *scriptedEngine) PieceReader(model string) PieceReader { return directReader{e, model} }

func (e *scriptedEngine) StartLoad(context.Context, string, int, LayerRange, int64) error {
	if e.orders++; e.onOrder != nil {
		e.onOrder()
	}
	return e.orderErr
}

const (
	scriptedPieces = 4
	scriptedLayers = 2
)

// newScripted returns a replica whose engine serves version 1, and version 2 with all its
// pieces staged.
func newScripted(e *scriptedEngine) (*Replica, *clock.Fake, *pendingVersion) {
	c := clock.NewFake(time.Unix(1000, 0))
	r := New(Config{Engine: e, Clock: c, Layers: func() int { return scriptedLayers }, Log: eventlog.OpenPlain(io.Discard, c)})
	m := &Manifest{Model: "m", Version: 2}
	for piece := range scriptedPieces {
		m.Digests = append(m.Digests, sha256.Sum256([]byte{byte(piece)}))
	}
	e.state = EngineState{StartUnixMilli: 1, Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}}}
	r.readEngineState(context.Background())
	pieces := newPieceSet(m, e)
	for piece := range scriptedPieces {
		pieces.put(piece, []byte{byte(piece)})
		pieces.staged[piece] = true
	}
	return r, c, &pendingVersion{target: target{model: "m", version: 2}, pieces: pieces}
}

func (r *Replica) loadNow(p *pendingVersion) {
	r.load(context.Background(), p, &r.engineState.Load().EngineState)
}

func TestOrderFollowsVerification(t *testing.T) {
	e := &scriptedEngine{}
	r, _, p := newScripted(e)
	r.loadNow(p)
	if e.orders != 1 {
		t.Fatalf("%d orders, want 1", e.orders)
	}
}

// Guards against an order whose pieces were verified long before, as the agent was paused.
func TestNoOrderAfterAPause(t *testing.T) {
	e := &scriptedEngine{}
	r, c, p := newScripted(e)
	e.onPiece = func(piece int) {
		if piece == 0 {
			// The pass ends, and the pause begins before the order.
			go func() {
				time.Sleep(queuePollInterval / 2)
				c.Advance(maxVerificationAge + time.Millisecond)
			}()
		}
	}
	r.loadNow(p)
	if e.orders != 0 || p.verification != nil {
		t.Errorf("%d orders after a pause before the order, verification %+v", e.orders, p.verification)
	}
	e.onPiece = nil
	allPieces := slices.Repeat([]bool{true}, len(p.pieces.manifest.Digests))
	if _, err := r.verify(context.Background(), p, r.engineState.Load().stamp(), allPieces, func() bool { return false }); err != nil {
		t.Fatal(err)
	}
	c.Advance(maxVerificationAge + time.Millisecond)
	r.loadNow(p)
	if e.orders != 0 || p.verification != nil {
		t.Errorf("%d orders after a pause between two steps, verification %+v", e.orders, p.verification)
	}
	r.loadNow(p)
	if e.orders != 1 {
		t.Errorf("%d orders after the pieces were verified again, want 1", e.orders)
	}
}

// Guards against an order based on pieces that were verified before the engine accepted
// another order or restarted.
func TestNoOrderOnAnotherState(t *testing.T) {
	for name, change := range map[string]func(*EngineState){
		"order accepted": func(s *EngineState) { s.OrdersAccepted++ },
		"restart":        func(s *EngineState) { s.StartUnixMilli++ },
		"load":           func(s *EngineState) { s.Busy = true },
	} {
		e := &scriptedEngine{}
		r, _, p := newScripted(e)
		e.onPiece = func(piece int) {
			if piece == scriptedPieces-1 {
				change(&e.state)
			}
		}
		r.loadNow(p)
		if e.orders != 0 {
			t.Errorf("%s: the engine got an order", name)
		}
	}
}

// Guards against layers that count as intact because of pieces that were read before the
// engine took them.
func TestVerificationCountsOnlyWithoutAnOrderMeanwhile(t *testing.T) {
	for name, change := range map[string]func(*EngineState){
		"order accepted": func(s *EngineState) { s.OrdersAccepted++ },
		"restart":        func(s *EngineState) { s.StartUnixMilli++ },
		"load":           func(s *EngineState) { s.Busy = true },
	} {
		e := &scriptedEngine{}
		r, _, p := newScripted(e)
		e.state.Weights["m"] = directory.Weights{Version: 2, Complete: true}
		e.state.OrdersAccepted = 1
		r.readEngineState(context.Background())
		e.onPiece = func(piece int) {
			if piece == scriptedPieces-1 {
				change(&e.state)
			}
		}
		r.loadNow(p)
		if all := (LayerRange{To: scriptedLayers}); r.check.intact(all) || !r.check.unknownLayer(all) {
			t.Errorf("%s: layers are %v, want unknown", name, r.check.states)
		}
	}
}

// Guards against an engine that gets requests while an order may be accepted that it
// hasn't responded to, and against one that stays closed after a later order.
func TestEngineIsClosedWhileAnOrderIsOpen(t *testing.T) {
	e := &scriptedEngine{orderErr: errors.New("no response")}
	r, _, p := newScripted(e)
	if r.Draining() {
		t.Fatal("the engine is closed before the order")
	}
	r.loadNow(p)
	if !r.Draining() {
		t.Error("the engine is open while its order is")
	}
	e.state.OrdersAccepted = 1
	e.state.Weights["m"] = directory.Weights{Version: 2, Complete: true}
	r.readEngineState(context.Background())
	if !r.Draining() {
		t.Error("the engine is open before it is verified")
	}
	r.loadNow(p)
	r.loadNow(p)
	if r.Draining() {
		t.Errorf("the engine is closed after it was verified, layers %v", r.check.states)
	}
}

// Guards against an order that the engine accepts after a restart: it counts its orders
// anew.
func TestOpenOrderOutlivesARestart(t *testing.T) {
	e := &scriptedEngine{orderErr: errors.New("no response")}
	r, _, p := newScripted(e)
	r.loadNow(p)
	e.state.StartUnixMilli++
	e.state.Weights = nil
	r.readEngineState(context.Background())
	if state := &r.engineState.Load().EngineState; !r.mayAcceptOrder(state) || !r.Draining() {
		t.Error("the restarted engine may accept the order")
	}
}

// Guards against an order of an earlier process that takes pieces which this one writes.
func TestOrderOfAnEarlierProcessIsOpen(t *testing.T) {
	e := &scriptedEngine{}
	r, _, _ := newScripted(e)
	if state := &r.engineState.Load().EngineState; !r.mayAcceptOrder(state) || r.Draining() {
		t.Error("the engine may accept an order of an earlier process, and serves meanwhile")
	}
}

// readingEngine counts the reads of its state until its first order.
type readingEngine struct {
	*scriptedEngine
	reads, readsAtOrder int
}

func (e *readingEngine) State(ctx context.Context) (EngineState, error) {
	e.reads++
	state, err := e.scriptedEngine.State(ctx)
	// The queue empties by the next read.
	e.state.Queued = 0
	return state, err
}

func (e *readingEngine) StartLoad(ctx context.Context, model string, version int, layers LayerRange, orders int64) error {
	e.readsAtOrder = e.reads
	return e.scriptedEngine.StartLoad(ctx, model, version, layers, orders)
}

// Guards against engines that start without weights and wait for requests to end that
// nobody sends them, all of them after a loss of power, and against orders that reject
// queued requests.
func TestOnlyEnginesThatMayHaveRequestsWaitBeforeAnOrder(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*EngineState)
		waits  bool
	}{
		"serving":                     {func(*EngineState) {}, true},
		"without weights":             {func(s *EngineState) { s.Weights = nil }, false},
		"without weights, but queued": {func(s *EngineState) { s.Weights, s.Queued = nil, 1 }, true},
	} {
		e := &readingEngine{scriptedEngine: &scriptedEngine{}}
		r, _, p := newScripted(e.scriptedEngine)
		r.config.Engine = e
		c.change(&e.state)
		r.readEngineState(context.Background())
		before := e.reads
		r.loadNow(p)
		if e.orders != 1 || (e.readsAtOrder > before) != c.waits {
			t.Errorf("%s: %d orders, %d reads of the state before the order", name, e.orders, e.readsAtOrder-before)
		}
	}
}
