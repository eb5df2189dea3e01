package replica

import (
	"context"
	"crypto/sha256"
	"testing"
)

// Guards against an engine that is trusted after a configuration changed the number of
// layers: pieces had been written again since the engine took them.
func TestLayerCheckKeepsMarksWhenTheNumberOfLayersChanges(t *testing.T) {
	layers := 4
	r := &Replica{config: Config{Layers: func() int { return layers }}}
	p := &pendingVersion{target: target{model: "m", version: 2}, pieces: newPieceSet(&Manifest{Model: "m", Version: 2, Digests: make([][sha256.Size]byte, 8)}, nil)}
	state := &EngineState{StartUnixMilli: 1, OrdersAccepted: 1}
	intact := func(corrupt int) []bool {
		pieces := make([]bool, 8)
		for i := range pieces {
			pieces[i] = i != corrupt
		}
		return pieces
	}
	marks := []func(*layerCheck){
		func(c *layerCheck) { c.pieceWritten(3, true) },
		func(c *layerCheck) { c.verified(LayerRange{To: 4}, intact(3)) },
	}
	for i, mark := range marks {
		p.version = i + 2
		layers = 4
		c := r.layerCheckFor(p, state)
		mark(c)
		layers = 8
		all := LayerRange{To: 8}
		c = r.layerCheckFor(p, state)
		c.verified(all, intact(-1))
		if c.intact(all) {
			t.Errorf("version %d: all layers are trusted, states %v", p.version, c.states)
		}
	}
}

// Guards against a newer version that is loaded at once instead of in its turn, because the
// number of layers became known while the engine takes the version before it.
func TestTakenVersionIsVerifiedFirstWhenTheNumberOfLayersChanges(t *testing.T) {
	e := &scriptedEngine{}
	r, taken, _ := newTaken(t, e)
	e.state.Busy = true
	layers := 2 * scriptedLayers
	r.config.Layers = func() int { return layers }
	if p := r.nextNow(); p != taken {
		t.Fatalf("the next version is %+v, want version 2", p)
	}
	r.verifyWhileBusy(context.Background(), taken, &r.engineState.Load().EngineState)
	if p := r.nextNow(); p != taken || r.check.layers() != layers {
		t.Errorf("with %d layers, the next version is %+v, want version 2", r.check.layers(), p)
	}
}
