package replica

import (
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
