package replica

import (
	"context"
	"crypto/sha256"
)

// Origin is the source of a model's weights. Its data may be corrupt. It is safe
// for concurrent use.
type Origin interface {
	Manifest(ctx context.Context, model string, version int) (*Manifest, error)
	Piece(ctx context.Context, model string, version, piece int) ([]byte, error)
	// StopKeepAlive closes kept connections and opens a new one for each further call. It is
	// called after a piece that is not intact: it may be the response to an earlier request,
	// sent once more, and the later ones on the connection would be one behind as well.
	StopKeepAlive()
}

// Manifest lists the SHA-256 digests of the pieces of one version of a model.
type Manifest struct {
	Model   string
	Version int
	Digests [][sha256.Size]byte
}

// Matches reports whether data is the intact piece.
func (m *Manifest) Matches(piece int, data []byte) bool {
	return sha256.Sum256(data) == m.Digests[piece]
}
