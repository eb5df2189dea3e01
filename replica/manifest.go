package replica

import (
	"context"
	"crypto/sha256"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// manifestReaders is the number of instances per region that read a manifest
	// from the origin. A manifest of 96 pieces has 6 KB; read by 150 instances that
	// is more than a third of a copy of the weights, and more connections than an
	// origin accepts.
	manifestReaders = 2
	// manifestPeerTimeout bounds a manifest request to one of them, which reads the
	// manifest at the same time.
	manifestPeerTimeout = 700 * time.Millisecond
	// manifestOriginDelay is the time after which other instances also read from
	// the origin, one after another at intervals of manifestStagger.
	manifestOriginDelay = 2500 * time.Millisecond
	manifestStagger     = 50 * time.Millisecond
)

var (
	errNoManifest  = errors.New("no instance of the region has the manifest")
	errUnreachable = errors.New("instance is unreachable")
	errPieceCount  = errors.New("manifest has another number of pieces than the configuration declares")
)

// manifest returns the manifest of a version. The first manifestReaders
// instances of a region read it from the origin, the others from those. If
// fromOrigin is set, it is read from the origin in any case.
func (r *Replica) manifest(ctx context.Context, t target, peers []Peer, fromOrigin bool) (*Manifest, error) {
	order := r.manifestOrder(t, peers)
	rank := slices.Index(order, r.config.EngineAddress)
	if fromOrigin || rank < manifestReaders {
		return r.originManifest(ctx, t)
	}
	reached := false
	for _, id := range order[:manifestReaders] {
		m, err := r.peerManifest(ctx, t, id)
		if err == nil {
			return m, nil
		}
		reached = reached || !errors.Is(err, errUnreachable)
	}
	// If one of them answered, it is the origin that can't be reached.
	if reached || r.config.Clock.Now().Sub(t.since) < manifestOriginDelay+time.Duration(rank)*manifestStagger {
		return nil, errNoManifest
	}
	return r.originManifest(ctx, t)
}

// manifestOrder returns the instances of this region in the order in which they
// read a manifest. All instances compute the same order.
func (r *Replica) manifestOrder(t target, peers []Peer) []string {
	ids := []string{r.config.EngineAddress}
	for _, p := range peers {
		if p.Region == r.config.Region && !slices.Contains(ids, p.Address) {
			ids = append(ids, p.Address)
		}
	}
	return rendezvous.Rank(t.model+" "+strconv.Itoa(t.version), ids, len(ids))
}

func (r *Replica) originManifest(ctx context.Context, t target) (*Manifest, error) {
	origin := r.config.Origin()
	if origin == nil {
		return nil, errNoOrigin
	}
	callCtx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	m, err := origin.Manifest(callCtx, t.model, t.version)
	r.recordOriginResult(ctx, err)
	if err != nil {
		return nil, err
	}
	return m, r.checkPieceCount(m)
}

// peerManifest requests a manifest from another instance, which may not have it
// yet.
func (r *Replica) peerManifest(ctx context.Context, t target, id string) (*Manifest, error) {
	host, _, err := net.SplitHostPort(id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, manifestPeerTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", net.JoinHostPort(host, strconv.Itoa(r.config.PeerPort)))
	if err != nil {
		return nil, merry.Wrap(errUnreachable, merry.WithCause(err))
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req := peerlink.PieceRequest{Model: t.model, Version: t.version, Piece: peerlink.ManifestOnly}
	if err := msgstream.Encode(conn, &req); err != nil {
		return nil, err
	}
	var resp peerlink.PieceResponse
	if err := msgstream.NewDecoder(conn, peerBufferBytes, maxResponseBytes).Decode(&resp); err != nil {
		return nil, err
	}
	m, err := decodeManifest(t.model, t.version, resp.Data)
	if err != nil {
		return nil, err
	}
	return m, r.checkPieceCount(m)
}

// checkPieceCount returns an error unless a manifest names all pieces of the model. Engines
// would load other ones as they were left by an earlier version.
func (r *Replica) checkPieceCount(m *Manifest) error {
	if r.config.Pieces == nil {
		return nil
	}
	if declared := r.config.Pieces(); declared > 0 && declared != len(m.Digests) {
		return merry.Wrap(errPieceCount, merry.AppendMessagef("%d instead of %d", len(m.Digests), declared))
	}
	return nil
}

// decodeManifest reads the concatenated digests of the pieces.
func decodeManifest(model string, version int, data []byte) (*Manifest, error) {
	if len(data) == 0 || len(data)%sha256.Size != 0 {
		return nil, errNoManifest
	}
	m := &Manifest{Model: model, Version: version}
	for digest := range slices.Chunk(data, sha256.Size) {
		m.Digests = append(m.Digests, [sha256.Size]byte(digest))
	}
	return m, nil
}

func (m *Manifest) encode() []byte {
	data := make([]byte, 0, len(m.Digests)*sha256.Size)
	for i := range m.Digests {
		data = append(data, m.Digests[i][:]...)
	}
	return data
}

// sendManifest answers a peer that requests only the manifest.
func (r *Replica) sendManifest(ctx context.Context, s *peerSession, req *peerlink.PieceRequest) {
	if pieces := r.awaitPiecesWithTimeout(ctx, req.Model, req.Version); pieces != nil {
		// If this fails, the peer asks another instance.
		_ = s.send(&peerlink.PieceResponse{Piece: peerlink.NoPiece, Data: pieces.manifest.encode()})
	}
}
