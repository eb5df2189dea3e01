package replica

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/spread"
	"github.com/auburnbend/auburnbend/peerlink"
)

// Guards against an agent that ends because a peer with another manifest announces or
// sends pieces that its own manifest doesn't have.
func TestFetchIgnoresPiecesOutsideTheManifest(t *testing.T) {
	const pieces = 2
	r := New(Config{EngineAddress: "127.0.0.1:9", Clock: clock.System{}})
	f := &fetch{replica: r, pieces: newPieceSet(&Manifest{Digests: make([][sha256.Size]byte, pieces)}, nil), plan: r.newPlan(nil, pieces)}
	f.scheduler = spread.NewScheduler(spread.Config{}, f.plan, pieces, f.pieces.missing(), time.Now())
	events := []fetchEvent{
		{source: "peer", piece: peerlink.NoPiece, have: []int{-2, 0, pieces, 1 << 20}},
		{source: "peer", piece: pieces, data: []byte("x")},
		{source: "peer", piece: -2, data: []byte("x")},
	}
	for _, e := range events {
		if !f.handleEvent(e) {
			t.Errorf("event %+v must not end the fetch", e)
		}
	}
	if f.scheduler.Remaining() != pieces {
		t.Errorf("%d pieces remain, want %d", f.scheduler.Remaining(), pieces)
	}
}
