package replica_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/replica"
)

const testPieces = 24

// pieceData returns the content of a piece.
func pieceData(version, piece int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%d/%d;", version, piece)), 200)
}

// fakeOrigin is an in-memory origin.
type fakeOrigin struct {
	served atomic.Int64
	// manifests counts manifest reads.
	manifests atomic.Int64
	// corruptCount is the number of corrupt pieces to send before correct ones.
	corruptCount atomic.Int64
	// shortManifests is the number of manifests to send that lack the last pieces.
	shortManifests atomic.Int64
	down           atomic.Bool
	// pieceTime is the time to send one piece, in nanoseconds.
	pieceTime atomic.Int64
}

var errDown = errors.New("down")

func (o *fakeOrigin) Manifest(_ context.Context, model string, version int) (*replica.Manifest, error) {
	if o.down.Load() {
		return nil, errDown
	}
	o.manifests.Add(1)
	m := &replica.Manifest{Model: model, Version: version}
	for p := range testPieces {
		m.Digests = append(m.Digests, sha256.Sum256(pieceData(version, p)))
	}
	if o.shortManifests.Add(-1) >= 0 {
		m.Digests = m.Digests[:testPieces/2]
	}
	return m, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _ string, version, piece int) ([]byte, error) {
	if o.down.Load() {
		return nil, errDown
	}
	time.Sleep(time.Duration(o.pieceTime.Load()))
	o.served.Add(1)
	if o.corruptCount.Add(-1) >= 0 {
		return []byte("corrupt"), nil
	}
	return pieceData(version, piece), nil
}

func (o *fakeOrigin) StopKeepAlive() {}

// fakeEngine is an in-memory engine that records its orders.
type fakeEngine struct {
	mu             sync.Mutex
	startUnixMilli int64
	staged         map[int][]byte
	loaded         int
	// mixed is set if an order found pieces of another version.
	mixed  bool
	orders int
	// queued is the number of queued requests; rejected counts those that an order
	// rejected.
	queued, rejected int
	// unstorable makes the engine return other bytes than were staged as piece 0. reads
	// counts how often that piece was read.
	unstorable bool
	reads      int
}

func newFakeEngine(version int) *fakeEngine {
	return &fakeEngine{startUnixMilli: 1, staged: make(map[int][]byte), loaded: version}
}

func (e *fakeEngine) State(context.Context) (replica.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := replica.EngineState{StartUnixMilli: e.startUnixMilli, Queued: e.queued, OrdersAccepted: int64(e.orders)}
	if e.loaded > 0 {
		s.Weights = map[string]directory.Weights{"m": {Version: e.loaded, Complete: true}}
	}
	e.queued = max(0, e.queued-1)
	return s, nil
}

func (e *fakeEngine) StagePiece(_ context.Context, _ string, piece int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = data
	return nil
}

func (e *fakeEngine) Piece(_ context.Context, _ string, piece int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if piece == 0 {
		e.reads++
		if e.unstorable {
			return []byte("corrupt"), nil
		}
	}
	if data, ok := e.staged[piece]; ok {
		return data, nil
	}
	return nil, replica.ErrPieceNotFound
}

func (e *fakeEngine) StagedPieces(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.staged)), nil
}

func (e *fakeEngine) PieceReader(model string) replica.PieceReader { return directReader{e, model} }

// directReader reads pieces without a connection.
type directReader struct {
	engine replica.Engine
	model  string
}

func (r directReader) Read(ctx context.Context, piece int) ([]byte, error) {
	return r.engine.Piece(ctx, r.model, piece)
}

func (r directReader) Reset() {}

func (e *fakeEngine) StartLoad(_ context.Context, _ string, version int, _ replica.LayerRange, orders int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if orders != int64(e.orders) {
		return replica.ErrOrderRejected
	}
	e.orders++
	e.rejected += e.queued
	for p := range testPieces {
		if !bytes.Equal(e.staged[p], pieceData(version, p)) {
			e.mixed = true
		}
	}
	e.loaded = version
	return nil
}

func (e *fakeEngine) version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// fleet is a number of replicas on loopback addresses.
type fleet struct {
	origin   *fakeOrigin
	engines  []*fakeEngine
	replicas []*replica.Replica
	peers    []replica.Peer
	port     int
	ctx      context.Context
	// remoteOrigin replaces origin if it is not nil. It must be set before the first target.
	remoteOrigin replica.Origin
	// logs holds the log lines of all replicas.
	logs *gbytes.Buffer
	// unlisted hides all engines from the peer list.
	unlisted atomic.Bool
	// peersOfFirst is the peer list of the first replica, if it differs.
	peersOfFirst atomic.Pointer[[]replica.Peer]
}

func (f *fleet) listPeersOfFirst() ([]replica.Peer, error) {
	if peers := f.peersOfFirst.Load(); peers != nil {
		return *peers, nil
	}
	return f.listPeers()
}

func (f *fleet) listPeers() ([]replica.Peer, error) {
	if f.unlisted.Load() {
		return nil, nil
	}
	return f.peers, nil
}

func freePort() int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

func newFleet(loaded ...int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	f := &fleet{origin: &fakeOrigin{}, port: freePort(), ctx: ctx, logs: gbytes.NewBuffer()}
	for i, version := range loaded {
		f.peers = append(f.peers, replica.Peer{Address: f.host(i) + ":9", Region: strconv.Itoa(i % 2)})
		f.engines = append(f.engines, newFakeEngine(version))
	}
	for i := range loaded {
		f.replicas = append(f.replicas, f.start(i))
	}
	return f
}

func (f *fleet) currentOrigin() replica.Origin {
	if f.remoteOrigin != nil {
		return f.remoteOrigin
	}
	return f.origin
}

func (f *fleet) host(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func (f *fleet) start(i int) *replica.Replica {
	listPeers := f.listPeers
	if i == 0 {
		listPeers = f.listPeersOfFirst
	}
	r := replica.New(replica.Config{
		EngineAddress: f.peers[i].Address, Region: f.peers[i].Region, Engine: f.engines[i],
		Origin:          f.currentOrigin,
		OriginPieceTime: func() time.Duration { return time.Millisecond },
		Pieces:          func() int { return testPieces },
		Peers:           listPeers,
		PeerPort:        f.port, Listen: f.host(i), MaxRolloutTime: time.Second,
		Clock: clock.System{}, Log: eventlog.OpenPlain(f.logs, clock.System{}),
	})
	go func() {
		defer GinkgoRecover()
		Expect(r.Run(f.ctx)).To(Succeed())
	}()
	return r
}

func (f *fleet) setTarget(version int) { f.setTargetOf(version, f.replicas...) }

func (f *fleet) setTargetOf(version int, replicas ...*replica.Replica) {
	for _, r := range replicas {
		r.SetTarget("m", version)
	}
}

func (f *fleet) serving(version int) func() bool {
	return func() bool {
		for _, e := range f.engines {
			if e.version() != version {
				return false
			}
		}
		return true
	}
}

func (f *fleet) expectUnmixed() {
	for _, e := range f.engines {
		e.mu.Lock()
		Expect(e.mixed).To(BeFalse())
		e.mu.Unlock()
	}
}
