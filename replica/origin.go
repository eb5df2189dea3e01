package replica

import (
	"context"
	"crypto/sha256"
)

// Origin is where the weights of a model come from. What it sends may be
// spoilt. It is safe for concurrent use.
type Origin interface {
	Manifest(ctx context.Context, model string, version int) (*Manifest, error)
	Piece(ctx context.Context, model string, version, piece int) ([]byte, error)
}

// Manifest lists the pieces of one version of a model.
type Manifest struct {
	Model   string
	Version int
	Digests [][sha256.Size]byte
}

// Matches reports whether data is the whole piece.
func (m *Manifest) Matches(piece int, data []byte) bool {
	return sha256.Sum256(data) == m.Digests[piece]
}
