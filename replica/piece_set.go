package replica

import (
	"context"
	"errors"
	"sync"
)

// pieceSet holds the pieces of one version that this instance has, each verified
// against the manifest. They are in memory until the engine serves the version, and
// staged at the engine afterwards. It is safe for concurrent use.
type pieceSet struct {
	manifest *Manifest
	engine   Engine

	mu     sync.Mutex
	pieces [][]byte
	have   []bool
	// staged marks pieces that the engine holds unless they were corrupted there since.
	staged []bool
	// lacking is set if the engine didn't hold a piece when it was read.
	lacking bool
	// changed is closed at the next change of have.
	changed chan struct{}
}

func newPieceSet(m *Manifest, engine Engine) *pieceSet {
	n := len(m.Digests)
	return &pieceSet{manifest: m, engine: engine, pieces: make([][]byte, n), have: make([]bool, n), staged: make([]bool, n), changed: make(chan struct{})}
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

// get returns a piece, or nil if it is missing. A piece that is staged at the engine is
// read with reader and verified, because it may have been corrupted there.
func (s *pieceSet) get(ctx context.Context, reader *stagedReader, piece int) []byte {
	s.mu.Lock()
	data, have := s.pieces[piece], s.have[piece]
	s.mu.Unlock()
	if !have || data != nil {
		return data
	}
	data, err := reader.read(ctx, piece)
	if err == nil && data != nil {
		return data
	}
	if ctx.Err() == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.setHave(piece, false)
	}
	return nil
}

// errPieceLost means that a piece is neither staged nor in memory and has to be fetched
// again.
var errPieceLost = errors.New("piece was corrupted at the engine and is not in memory")

// stage writes those of the needed pieces, or of all if needed is nil, that are not staged
// to the engine until deadline has passed, and calls written after each one. It reports
// whether all of them are staged.
func (s *pieceSet) stage(ctx context.Context, needed []bool, deadline func() bool, written func(piece int)) (bool, error) {
	for piece := range s.have {
		if needed != nil && !needed[piece] {
			continue
		}
		s.mu.Lock()
		data, staged := s.pieces[piece], s.staged[piece]
		s.mu.Unlock()
		switch {
		case staged:
			continue
		case data == nil:
			s.mu.Lock()
			s.setHave(piece, false)
			s.mu.Unlock()
			return false, errPieceLost
		case deadline():
			return false, nil
		}
		if err := s.stagePiece(ctx, piece, data, written); err != nil {
			return false, err
		}
	}
	return true, nil
}

// stagePresent is like stage, but skips missing pieces, which are being fetched.
func (s *pieceSet) stagePresent(ctx context.Context, deadline func() bool, written func(piece int)) error {
	for piece := range s.have {
		s.mu.Lock()
		data, staged := s.pieces[piece], s.staged[piece]
		s.mu.Unlock()
		if staged || data == nil {
			continue
		}
		if deadline() {
			return nil
		}
		if err := s.stagePiece(ctx, piece, data, written); err != nil {
			return err
		}
	}
	return nil
}

func (s *pieceSet) stagePiece(ctx context.Context, piece int, data []byte, written func(piece int)) error {
	ctx, cancel := context.WithTimeout(ctx, stageCallTimeout)
	defer cancel()
	err := s.engine.StagePiece(ctx, s.manifest.Model, piece, data)
	// A write without a response may have taken effect.
	written(piece)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged[piece] = true
	return nil
}

// verifyStaged reads a piece back from the engine and reports whether it is intact. An
// error means that the engine didn't answer.
func (s *pieceSet) verifyStaged(ctx context.Context, reader *stagedReader, piece int) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, stageCallTimeout)
	defer cancel()
	data, err := reader.read(callCtx, piece)
	missing := errors.Is(err, ErrPieceNotFound)
	if err != nil && !missing {
		return false, err
	}
	intact := data != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged[piece] = intact
	s.lacking = s.lacking || missing
	return intact, nil
}

// newReader returns a reader of the staged pieces. It must be reset after its use.
func (s *pieceSet) newReader() *stagedReader { return newStagedReader(s.manifest, s.engine) }

// lacksPiece reports whether the engine didn't hold a piece when it was read.
func (s *pieceSet) lacksPiece() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lacking
}

func (s *pieceSet) setLacking() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lacking = true
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
	listed := s.listStaged(ctx)
	reader := s.newReader()
	defer reader.reset()
	for piece := range s.have {
		if !listed[piece] {
			s.setLacking()
			continue
		}
		data, err := reader.read(ctx, piece)
		if ctx.Err() != nil {
			return
		}
		if err == nil && data != nil {
			s.put(piece, data)
			s.mu.Lock()
			s.staged[piece] = true
			s.mu.Unlock()
		}
		if errors.Is(err, ErrPieceNotFound) {
			s.setLacking()
		}
	}
}

// listStaged marks the pieces that may be staged at the engine: all of them if it doesn't
// list them.
func (s *pieceSet) listStaged(ctx context.Context) []bool {
	marked := make([]bool, len(s.have))
	staged, err := s.engine.StagedPieces(ctx, s.manifest.Model)
	if err != nil {
		for piece := range marked {
			marked[piece] = true
		}
		return marked
	}
	for _, piece := range staged {
		if piece >= 0 && piece < len(marked) {
			marked[piece] = true
		}
	}
	return marked
}
