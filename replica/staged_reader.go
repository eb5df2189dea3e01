package replica

import (
	"context"
	"crypto/sha256"
	"errors"
)

// stagedReader reads pieces of one version back from the engine, over a connection that
// it keeps. The engine may send earlier responses once more, at the point where a later
// one is expected. A piece that matches its digest is never such a duplicate, because no
// content is read twice from one connection; one that doesn't match, or is missing, is
// read again from a connection of its own. It is not safe for concurrent use.
type stagedReader struct {
	manifest *Manifest
	engine   Engine
	pieces   PieceReader
	// used is set if the connection has carried a response.
	used bool
	// contents are the digests of the pieces read from the connection.
	contents map[[sha256.Size]byte]bool
}

func newStagedReader(m *Manifest, e Engine) *stagedReader {
	return &stagedReader{manifest: m, engine: e, pieces: e.PieceReader(m.Model), contents: make(map[[sha256.Size]byte]bool)}
}

// reset makes the next read use a new connection.
func (r *stagedReader) reset() {
	r.pieces.Reset()
	r.used = false
	clear(r.contents)
}

// read returns a staged piece if it is intact, nil if it is corrupt, and ErrPieceNotFound
// if the engine doesn't hold it. Any other error means that the engine didn't answer.
func (r *stagedReader) read(ctx context.Context, piece int) ([]byte, error) {
	if r.contents[r.manifest.Digests[piece]] {
		r.reset()
	}
	first := !r.used
	r.used = true
	data, err := r.pieces.Read(ctx, piece)
	if err == nil && r.manifest.Matches(piece, data) {
		r.contents[r.manifest.Digests[piece]] = true
		return data, nil
	}
	r.reset()
	if !first && (err == nil || errors.Is(err, ErrPieceNotFound)) {
		data, err = r.engine.Piece(ctx, r.manifest.Model, piece)
	}
	if err != nil || !r.manifest.Matches(piece, data) {
		return nil, err
	}
	return data, nil
}
