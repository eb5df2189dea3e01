package replica

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// modelEngine is the oracle of an engine that takes layers: it remembers of each held
// layer whether all its pieces were intact when it took it.
type modelEngine struct {
	layers, pieces int
	held           LayerRange
	takenIntact    []bool
	staged         []bool
	orders         int
}

// take applies an accepted order as engines do: held layers in target are kept.
func (e *modelEngine) take(target LayerRange) {
	kept := e.held.Intersect(target)
	for layer := target.From; layer < target.To; layer++ {
		if kept.Contains(layer) {
			continue
		}
		e.takenIntact[layer] = true
		from, to := piecesOf(layer, e.layers, e.pieces)
		for piece := from; piece < to; piece++ {
			e.takenIntact[layer] = e.takenIntact[layer] && e.staged[piece]
		}
	}
	e.held = target
	e.orders++
}

// modelAgent follows the same steps as Replica.load against a modelEngine.
type modelAgent struct {
	t      *rapid.T
	engine *modelEngine
	check  *layerCheck
	// unanswered is an order without a response that the engine may still accept while
	// it has accepted unansweredAt orders.
	unanswered   *LayerRange
	unansweredAt int
}

func (a *modelAgent) corrupt() {
	for piece := range a.engine.staged {
		if rapid.IntRange(0, 9).Draw(a.t, "corrupt") == 0 {
			a.engine.staged[piece] = false
		}
	}
}

// acceptLate lets the engine accept an unanswered order.
func (a *modelAgent) acceptLate() {
	if a.unanswered != nil && a.unansweredAt == a.engine.orders && rapid.Bool().Draw(a.t, "accept late") {
		a.engine.take(*a.unanswered)
		a.unanswered = nil
	}
}

// step makes one step. It reports whether the agent considers all layers intact.
func (a *modelAgent) step(faults bool) bool {
	e := a.engine
	fault := func() {
		if faults {
			a.corrupt()
			a.acceptLate()
		}
	}
	held, orders := e.held, e.orders
	a.check.dropped(held)
	if a.check.unknownLayer(held) {
		intact := make([]bool, e.pieces)
		for piece := range intact {
			intact[piece] = e.staged[piece]
			fault()
		}
		if e.orders == orders {
			a.check.verified(held, intact)
		}
		return false
	}
	target, needed := a.check.next(held)
	if !needed {
		return a.check.intact(held)
	}
	open := a.unanswered != nil && a.unansweredAt == orders
	write := func(needed []bool) {
		for piece := range e.staged {
			if needed[piece] && !e.staged[piece] {
				a.check.pieceWritten(piece, open || a.check.needs(held, piece))
				e.staged[piece] = true
				fault()
			}
		}
	}
	guarded := open || a.check.givesUpAll(target)
	if open && !held.includes(target) && !a.check.givesUpAll(target) {
		for piece, needed := range a.check.piecesToTake(held, target) {
			if needed && !e.staged[piece] {
				target = a.check.reduce(held, piece)
				break
			}
		}
	}
	switch {
	case held.includes(target):
	case !guarded:
		write(slices.Repeat([]bool{true}, e.pieces))
	case a.check.givesUpAll(target) && !a.check.overlapsEvidence(held, target):
		write(a.check.piecesToTake(held, target))
	}
	switch {
	case e.orders != orders:
		// The engine rejects the order.
	case faults && rapid.IntRange(0, 3).Draw(a.t, "no response") == 0:
		a.unanswered, a.unansweredAt = &target, orders
		fault()
	default:
		e.take(target)
		a.unanswered = nil
		a.check.ordered(target, held.Intersect(target))
	}
	return false
}

// Guards against an engine that is trusted although it took a corrupt piece, and against
// loads that never end: pieces turn bad and unanswered orders are accepted at any step.
func TestLayerCheckTrustsOnlyLayersTakenIntact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(2, 6).Draw(t, "layers")
		pieces := rapid.IntRange(layers/2+1, 3*layers).Draw(t, "pieces")
		e := &modelEngine{layers: layers, pieces: pieces, takenIntact: make([]bool, layers), staged: make([]bool, pieces)}
		a := &modelAgent{t: t, engine: e, check: newLayerCheck(layers, pieces)}
		expectIntact := func() {
			for layer, intact := range e.takenIntact {
				if !intact {
					t.Fatalf("layer %d is trusted but was taken corrupt", layer)
				}
			}
		}
		faultySteps := rapid.IntRange(0, 12).Draw(t, "steps with faults")
		for range faultySteps {
			if a.step(true) {
				expectIntact()
				return
			}
		}
		// Verification, giving up layers and taking them again each need few steps.
		for range 12 {
			if a.step(false) {
				expectIntact()
				return
			}
		}
		t.Fatalf("layers %+v are not trusted after steps without faults", e.held)
	})
}

// Guards against layers that are given up without need.
func TestLayerCheckKeepsIntactLayers(t *testing.T) {
	c := newLayerCheck(4, 8)
	all := LayerRange{To: 4}
	c.ordered(all, LayerRange{})
	c.verified(all, []bool{true, true, true, true, true, false, true, true})
	if c.intact(all) || c.suspectLayers(all) != 1 {
		t.Fatalf("one layer must be suspect, states %v", c.states)
	}
	if next, _ := c.next(all); next != (LayerRange{To: 2}) {
		t.Fatalf("engine must keep the first two layers, got %+v", next)
	}
	c.dropped(LayerRange{To: 2})
	if next, _ := c.next(LayerRange{To: 2}); next != all {
		t.Fatalf("engine must take the other layers again, got %+v", next)
	}
}
