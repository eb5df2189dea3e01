package replica

import (
	"testing"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// Guards against an engine that stays closed after it took a corrupt piece because its
// agent doesn't know the number of layers, so that it sends no further order.
func TestLayersAreTakenAgainIfTheirNumberIsUnknown(t *testing.T) {
	for _, declared := range []int{0, 1} {
		for _, layers := range []int{2, 4} {
			for piece := range scriptedPieces {
				b := newUnknownLayersBed(t, layers, declared)
				b.corruptAtFirstOrder(piece)
				b.steps(20)
				if !b.open() || b.logged(eventlog.WeightsCorrupt) != 1 {
					t.Errorf("%d layers, %d declared, piece %d corrupt: the engine is closed, orders %v\n%s", layers, declared, piece, b.engine.accepted, &b.logs)
				}
			}
		}
	}
}

// Guards against the same where the configuration names the number of layers later, at any
// step of the repair.
func TestLayersAreTakenAgainIfTheirNumberIsDeclaredLater(t *testing.T) {
	for known := range 12 {
		for piece := range scriptedPieces {
			b := newUnknownLayersBed(t, 4, 0)
			b.corruptAtFirstOrder(piece)
			b.steps(known)
			b.declared = b.engine.layers
			b.steps(20)
			if !b.open() {
				t.Errorf("declared after %d steps, piece %d corrupt: the engine is closed, orders %v\n%s", known, piece, b.engine.accepted, &b.logs)
			}
		}
	}
}

// Guards against the same where the engine reports its layers later.
func TestLayersAreTakenAgainIfTheirNumberIsReportedLater(t *testing.T) {
	b := newUnknownLayersBed(t, 4, 0)
	b.engine.reportsLayers, b.engine.state.Layers = false, nil
	b.corruptAtFirstOrder(2)
	b.steps(20)
	if b.open() || b.logged(eventlog.WeightsUnrepairable) != 1 {
		t.Fatalf("want the engine closed and one event %d\n%s", eventlog.WeightsUnrepairable.Number, &b.logs)
	}
	held := b.engine.held
	b.engine.reportsLayers, b.engine.state.Layers = true, &held
	b.steps(20)
	if !b.open() {
		t.Errorf("the engine is closed, orders %v\n%s", b.engine.accepted, &b.logs)
	}
}

// Guards against layers that an agent trusts, or takes for all of the model, because the one
// before it ended at any step of the repair. Neither knows the number of layers.
func TestLayersOfAnUnknownNumberAreNotTrustedAfterARestartOfTheAgent(t *testing.T) {
	for restart := range 16 {
		for _, layers := range []int{2, 4} {
			for piece := range scriptedPieces {
				b := newUnknownLayersBed(t, layers, 0)
				b.corruptAtFirstOrder(piece)
				b.steps(restart)
				b.restartAgent()
				b.steps(30)
				if !b.open() {
					t.Errorf("%d layers, agent replaced after %d steps, piece %d corrupt: the engine is closed, orders %v\n%s", layers, restart, piece, b.engine.accepted, &b.logs)
				}
			}
		}
	}
}

// Guards against an agent that ends between a write and its order: the engine then holds the
// first layers only, and all pieces are intact.
func TestFirstLayersAreNotTakenForAllOfTheModel(t *testing.T) {
	for held := 1; held <= 4; held++ {
		b := newUnknownLayersBed(t, 4, 0)
		b.engine.take(2, LayerRange{To: held})
		b.restartAgent()
		b.steps(20)
		if !b.open() || len(b.engine.accepted) > 2 {
			t.Errorf("%d of 4 layers held: open %v, orders %v", held, b.open(), b.engine.accepted)
		}
	}
}

// Guards against a model of one layer that is opened with the layer that the engine took
// corrupt, and against an agent that says nothing of an engine that it can't repair.
func TestOnlyLayerIsReportedIfItCannotBeTakenAgain(t *testing.T) {
	for name, recover := range map[string]func(b *unknownLayersBed){
		"engine restarts": func(b *unknownLayersBed) {
			b.engine.state = EngineState{StartUnixMilli: 2}
			b.engine.held = LayerRange{}
		},
		"newer version": func(b *unknownLayersBed) {
			clear(b.engine.corrupt)
			m := *b.replica.pending[0].pieces.manifest
			m.Version = 3
			next := &pendingVersion{target: target{model: "m", version: 3}, pieces: newPieceSet(&m, b.engine)}
			for piece := range scriptedPieces {
				next.pieces.put(piece, []byte{byte(piece)})
			}
			b.replica.pending = append(b.replica.pending, next)
			b.replica.SetTarget("m", 3)
		},
		"agent and engine restart": func(b *unknownLayersBed) {
			b.restartAgent()
			b.steps(20)
			if b.open() || b.logged(eventlog.WeightsUnrepairable) != 2 {
				t.Errorf("want the engine closed and one event %d of each agent\n%s", eventlog.WeightsUnrepairable.Number, &b.logs)
			}
			b.engine.state = EngineState{StartUnixMilli: 2}
			b.engine.held = LayerRange{}
		},
	} {
		for _, reports := range []bool{true, false} {
			b := newUnknownLayersBed(t, 1, 1)
			b.engine.reportsLayers = reports
			if !reports {
				b.engine.state.Layers = nil
			}
			b.corruptAtFirstOrder(2)
			b.steps(20)
			if b.open() || b.engine.ordered != 1 || b.logged(eventlog.WeightsUnrepairable) != 1 {
				t.Errorf("%s: want a closed engine, one order and one event %d; open %v, %d orders\n%s", name, eventlog.WeightsUnrepairable.Number, b.open(), b.engine.ordered, &b.logs)
			}
			recover(b)
			b.steps(20)
			if !b.open() {
				t.Errorf("%s: the engine is closed, orders %v\n%s", name, b.engine.accepted, &b.logs)
			}
		}
	}
}
