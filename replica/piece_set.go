package replica

import (
	"context"
	"sync"
)

// pieceSet holds the pieces of one version that this instance has, each verified
// against the manifest. They are in memory until the engine has accepted the
// load order, and staged at the engine afterwards. It is safe for concurrent
// use.
type pieceSet struct {
	manifest *Manifest
	engine   Engine

	mu     sync.Mutex
	pieces [][]byte
	have   []bool
	// changed is closed at the next change of have.
	changed chan struct{}
}

func newPieceSet(m *Manifest, engine Engine) *pieceSet {
	n := len(m.Digests)
	return &pieceSet{manifest: m, engine: engine, pieces: make([][]byte, n), have: make([]bool, n), changed: make(chan struct{})}
}

// isVersion reports whether the set is that of a version.
func (s *pieceSet) isVersion(model string, version int) bool {
	return s != nil && s.manifest.Model == model && s.manifest.Version == version
}

// put adds a piece that has been verified against the manifest.
func (s *pieceSet) put(piece int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces[piece] = data
	s.setHave(piece, true)
}

// setHave records whether a piece is present. The caller holds mu.
func (s *pieceSet) setHave(piece int, have bool) {
	if s.have[piece] == have {
		return
	}
	s.have[piece] = have
	close(s.changed)
	s.changed = make(chan struct{})
}

// missing returns the indexes of the missing pieces.
func (s *pieceSet) missing() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var indexes []int
	for piece, have := range s.have {
		if !have {
			indexes = append(indexes, piece)
		}
	}
	return indexes
}

// shareHeld returns the fraction of the pieces that is present.
func (s *pieceSet) shareHeld() float64 {
	return 1 - float64(len(s.missing()))/float64(len(s.have))
}

// held returns the indexes of the present pieces, and a channel that is closed
// at the next change.
func (s *pieceSet) held() ([]int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var indexes []int
	for piece, have := range s.have {
		if have {
			indexes = append(indexes, piece)
		}
	}
	return indexes, s.changed
}

// get returns a piece, or nil if it is missing. It verifies a piece that is
// staged at the engine, because it may have been corrupted there.
func (s *pieceSet) get(ctx context.Context, piece int) []byte {
	s.mu.Lock()
	data, have := s.pieces[piece], s.have[piece]
	s.mu.Unlock()
	if !have || data != nil {
		return data
	}
	data, err := s.engine.Piece(ctx, s.manifest.Model, piece)
	if err == nil && s.manifest.Matches(piece, data) {
		return data
	}
	if ctx.Err() == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.setHave(piece, false)
	}
	return nil
}

// stage copies the pieces in memory to the engine and verifies the others there.
// It reports whether the engine holds all pieces intact.
func (s *pieceSet) stage(ctx context.Context) (bool, error) {
	for piece := range s.have {
		s.mu.Lock()
		data := s.pieces[piece]
		s.mu.Unlock()
		if data == nil {
			if s.get(ctx, piece) == nil {
				return false, ctx.Err()
			}
			continue
		}
		if err := s.engine.StagePiece(ctx, s.manifest.Model, piece, data); err != nil {
			return false, err
		}
	}
	return true, nil
}

// dropFromMemory frees the pieces in memory once they are staged at the engine.
func (s *pieceSet) dropFromMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.pieces)
}

// readStaged adds the pieces that are already staged at the engine and match the
// manifest.
func (s *pieceSet) readStaged(ctx context.Context) {
	for piece := range s.have {
		data, err := s.engine.Piece(ctx, s.manifest.Model, piece)
		if ctx.Err() != nil {
			return
		}
		if err == nil && s.manifest.Matches(piece, data) {
			s.put(piece, data)
		}
	}
}
