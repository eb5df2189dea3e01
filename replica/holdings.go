package replica

import (
	"context"
	"sync"
)

// holdings are the pieces of one version that this instance has, each checked
// against the manifest: in memory while the version is fetched and until the
// engine has taken it, and at the engine afterwards. It is safe for concurrent
// use.
type holdings struct {
	manifest *Manifest
	engine   Engine

	mu     sync.Mutex
	pieces [][]byte
	have   []bool
	// changed is closed at the next change.
	changed chan struct{}
}

func newHoldings(m *Manifest, engine Engine) *holdings {
	n := len(m.Digests)
	return &holdings{manifest: m, engine: engine, pieces: make([][]byte, n), have: make([]bool, n), changed: make(chan struct{})}
}

// is reports whether these are the pieces of a version.
func (h *holdings) is(model string, version int) bool {
	return h != nil && h.manifest.Model == model && h.manifest.Version == version
}

// put keeps a piece that matches the manifest.
func (h *holdings) put(piece int, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pieces[piece] = data
	h.set(piece, true)
}

// set takes note whether a piece is here. The caller holds mu.
func (h *holdings) set(piece int, have bool) {
	if h.have[piece] == have {
		return
	}
	h.have[piece] = have
	close(h.changed)
	h.changed = make(chan struct{})
}

// missing returns the pieces that are not here.
func (h *holdings) missing() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []int
	for piece, have := range h.have {
		if !have {
			list = append(list, piece)
		}
	}
	return list
}

// share returns the part of the pieces that is here.
func (h *holdings) share() float64 {
	return 1 - float64(len(h.missing()))/float64(len(h.have))
}

// held returns the pieces that are here, and a channel that is closed at the
// next change.
func (h *holdings) held() ([]int, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []int
	for piece, have := range h.have {
		if have {
			list = append(list, piece)
		}
	}
	return list, h.changed
}

// get returns a piece, or nil if it is not here. A piece at the engine is
// checked, as it may have turned bad there.
func (h *holdings) get(ctx context.Context, piece int) []byte {
	h.mu.Lock()
	data, have := h.pieces[piece], h.have[piece]
	h.mu.Unlock()
	if !have || data != nil {
		return data
	}
	data, err := h.engine.Piece(ctx, h.manifest.Model, piece)
	if err == nil && h.manifest.Matches(piece, data) {
		return data
	}
	if ctx.Err() == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.set(piece, false)
	}
	return nil
}

// stage puts the pieces in memory to the engine, and checks the others there.
// It reports whether all of them are right at the engine.
func (h *holdings) stage(ctx context.Context) (bool, error) {
	for piece := range h.have {
		h.mu.Lock()
		data := h.pieces[piece]
		h.mu.Unlock()
		if data == nil {
			if h.get(ctx, piece) == nil {
				return false, ctx.Err()
			}
			continue
		}
		if err := h.engine.StagePiece(ctx, h.manifest.Model, piece, data); err != nil {
			return false, err
		}
	}
	return true, nil
}

// release drops the pieces from memory once they are at the engine.
func (h *holdings) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.pieces)
}

// adopt takes the pieces that the engine holds from before and that match.
func (h *holdings) adopt(ctx context.Context) {
	for piece := range h.have {
		data, err := h.engine.Piece(ctx, h.manifest.Model, piece)
		if ctx.Err() != nil {
			return
		}
		if err == nil && h.manifest.Matches(piece, data) {
			h.put(piece, data)
		}
	}
}
