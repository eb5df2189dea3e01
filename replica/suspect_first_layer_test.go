package replica

import (
	"context"
	"testing"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// writingEngine records the pieces that are written before the first order, and what the
// orders are about.
type writingEngine struct {
	*scriptedEngine
	corrupt map[int]bool
	written map[int]bool
	targets []LayerRange
}

func (e *writingEngine) StagePiece(_ context.Context, _ string, piece int, _ []byte) error {
	if len(e.targets) == 0 {
		e.written[piece] = true
	}
	delete(e.corrupt, piece)
	return nil
}

func (e *writingEngine) Piece(ctx context.Context, model string, piece int) ([]byte, error) {
	if e.corrupt[piece] {
		return []byte("corrupt"), nil
	}
	return e.scriptedEngine.Piece(ctx, model, piece)
}

func (e *writingEngine) PieceReader(model string) PieceReader { return directReader{e, model} }

func (e *writingEngine) StartLoad(_ context.Context, _ string, _ int, target LayerRange, _ int64) error {
	e.targets = append(e.targets, target)
	e.state.OrdersAccepted++
	if target.Len() == 0 {
		target.To = scriptedLayers
	}
	e.state.Layers = &target
	return nil
}

// Guards against an engine that serves a layer which it took corrupt: an agent that starts
// after its pieces were written again, but before the engine has given it up, finds them
// intact.
func TestSuspectFirstLayerIsGivenUpBeforeItsPiecesAreWritten(t *testing.T) {
	for _, corrupt := range []int{0, 1} {
		e := &writingEngine{scriptedEngine: &scriptedEngine{}, corrupt: map[int]bool{corrupt: true}, written: make(map[int]bool)}
		r, _, p := newScripted(e.scriptedEngine)
		r.config.Engine, p.pieces.engine = e, e
		e.state.OrdersAccepted = 1
		e.state.Weights = map[string]directory.Weights{"m": {Version: 2}}
		e.state.Layers = &LayerRange{To: 1}
		for range 10 {
			r.readEngineState(context.Background())
			r.loadNow(p)
			if e.written[corrupt] {
				t.Fatalf("piece %d of the suspect layer was written before the engine gave it up", corrupt)
			}
		}
		want := []LayerRange{{From: 1, To: scriptedLayers}, {To: 1}, {}}
		if len(e.targets) != len(want) {
			t.Fatalf("orders for %v, want %v", e.targets, want)
		}
		for i := range want {
			if e.targets[i] != want[i] {
				t.Errorf("orders for %v, want %v", e.targets, want)
			}
		}
		if r.Draining() {
			t.Errorf("the engine is closed after it has taken all layers again")
		}
	}
}

// Guards against a load that never ends because the suspect layer and the next one need
// the same corrupt piece, which must not be written before the first one is given up.
func TestSuspectLayersThatShareAPieceAreTakenAgain(t *testing.T) {
	c := newLayerCheck(2, 3)
	c.states[0] = layerSuspect
	first, last := LayerRange{To: 1}, LayerRange{From: 1, To: 2}
	if target, needed := c.next(first); target != last || !needed || !c.givesUpAll(target) {
		t.Errorf("next order is for %v (%v), want the last layer, whose pieces needn't be intact", target, needed)
	}
	c.ordered(last, LayerRange{})
	if target, needed := c.next(last); target != first || !needed || c.givesUpAll(target) {
		t.Errorf("next order is for %v (%v), want the first layer with intact pieces", target, needed)
	}
}
