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
	// manifestReaders is the number of instances of a region that read a manifest from
	// the origin. A manifest of 96 pieces has 6 KB: for 150 instances that is more
	// than a third of a copy of the weights, and more connections than an origin takes.
	manifestReaders = 2
	// manifestWait bounds the wait for one of them. It reads the manifest at the same
	// moment.
	manifestWait = 700 * time.Millisecond
	// manifestPatience is the time after which the other instances turn to the origin
	// too, one after another at manifestStagger.
	manifestPatience = 2500 * time.Millisecond
	manifestStagger  = 50 * time.Millisecond
)

var (
	errNoManifest  = errors.New("no instance of the region has the manifest")
	errUnreachable = errors.New("instance is unreachable")
)

// manifest returns the manifest of a version: from the origin if this instance is
// one of those that read it there, and from them otherwise. suspect tells that the
// last one seemed wrong, so that the origin is asked.
func (r *Replica) manifest(ctx context.Context, t target, peers []Peer, suspect bool) (*Manifest, error) {
	ranked := r.manifestRank(t, peers)
	rank := slices.Index(ranked, r.config.EngineAddress)
	if suspect || rank < manifestReaders {
		return r.originManifest(ctx, t)
	}
	reached := false
	for _, id := range ranked[:manifestReaders] {
		m, err := r.peerManifest(ctx, t, id)
		if err == nil {
			return m, nil
		}
		reached = reached || !errors.Is(err, errUnreachable)
	}
	// While one of them is there, the origin is what is missing.
	if reached || r.config.Clock.Now().Sub(t.since) < manifestPatience+time.Duration(rank)*manifestStagger {
		return nil, errNoManifest
	}
	return r.originManifest(ctx, t)
}

// manifestRank returns the instances of this region in the order in which they
// read a manifest, on which all of them agree.
func (r *Replica) manifestRank(t target, peers []Peer) []string {
	near := []string{r.config.EngineAddress}
	for _, p := range peers {
		if p.Region == r.config.Region && !slices.Contains(near, p.Address) {
			near = append(near, p.Address)
		}
	}
	return rendezvous.Rank(t.model+" "+strconv.Itoa(t.version), near, len(near))
}

func (r *Replica) originManifest(ctx context.Context, t target) (*Manifest, error) {
	origin := r.config.Origin()
	if origin == nil {
		return nil, errNoOrigin
	}
	callCtx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	m, err := origin.Manifest(callCtx, t.model, t.version)
	r.noteOrigin(ctx, err)
	return m, err
}

// peerManifest asks another instance for a manifest, which it may not have yet.
func (r *Replica) peerManifest(ctx context.Context, t target, id string) (*Manifest, error) {
	host, _, err := net.SplitHostPort(id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, manifestWait)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", net.JoinHostPort(host, strconv.Itoa(r.config.PeerPort)))
	if err != nil {
		return nil, merry.Wrap(errUnreachable, merry.WithCause(err))
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	q := peerlink.PieceRequest{Model: t.model, Version: t.version, Piece: peerlink.ManifestOnly}
	if err := msgstream.Encode(conn, &q); err != nil {
		return nil, err
	}
	var a peerlink.PieceResponse
	if err := msgstream.NewDecoder(conn, peerBuffer, answerLimit).Decode(&a); err != nil {
		return nil, err
	}
	return decodeManifest(t.model, t.version, a.Data)
}

// decodeManifest reads the digests of the pieces, one after another.
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

// sendManifest answers a peer that wants the manifest only.
func (r *Replica) sendManifest(ctx context.Context, s *peerSession, q *peerlink.PieceRequest) {
	if h := r.holdingsFor(ctx, q.Model, q.Version); h != nil {
		// A peer that has gone asks another one.
		_ = s.send(&peerlink.PieceResponse{Piece: peerlink.NoPiece, Data: h.manifest.encode()})
	}
}
