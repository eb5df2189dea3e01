package replica_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
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

// pieceOf is the content of a piece.
func pieceOf(version, piece int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%d/%d;", version, piece)), 200)
}

// fakeOrigin is an origin in memory.
type fakeOrigin struct {
	served atomic.Int64
	// manifests counts the manifests that were read.
	manifests atomic.Int64
	// spoil is the number of pieces that are sent spoilt first.
	spoil atomic.Int64
	down  atomic.Bool
	// takes is the time of one piece in nanoseconds.
	takes atomic.Int64
}

var errDown = errors.New("down")

func (o *fakeOrigin) Manifest(_ context.Context, model string, version int) (*replica.Manifest, error) {
	if o.down.Load() {
		return nil, errDown
	}
	o.manifests.Add(1)
	m := &replica.Manifest{Model: model, Version: version}
	for p := range testPieces {
		m.Digests = append(m.Digests, sha256.Sum256(pieceOf(version, p)))
	}
	return m, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _ string, version, piece int) ([]byte, error) {
	if o.down.Load() {
		return nil, errDown
	}
	time.Sleep(time.Duration(o.takes.Load()))
	o.served.Add(1)
	if o.spoil.Add(-1) >= 0 {
		return []byte("spoilt"), nil
	}
	return pieceOf(version, piece), nil
}

// fakeEngine is an engine in memory. It notes what it was ordered to load.
type fakeEngine struct {
	mu     sync.Mutex
	born   int64
	staged map[int][]byte
	loaded int
	// mixed tells that an order found pieces that do not belong to its version.
	mixed  bool
	orders int
	// waiting is the number of requests in the queue; rejected counts those that
	// an order met.
	waiting, rejected int
}

func newFakeEngine(version int) *fakeEngine {
	return &fakeEngine{born: 1, staged: make(map[int][]byte), loaded: version}
}

func (e *fakeEngine) State(context.Context) (replica.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := replica.EngineState{StartUnixMilli: e.born, Queued: e.waiting, OrdersAccepted: int64(e.orders)}
	if e.loaded > 0 {
		r.Weights = map[string]directory.Weights{"m": {Version: e.loaded, Complete: true}}
	}
	e.waiting = max(0, e.waiting-1)
	return r, nil
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
	if data, ok := e.staged[piece]; ok {
		return data, nil
	}
	return nil, replica.ErrPieceNotFound
}

func (e *fakeEngine) StartLoad(_ context.Context, _ string, version int, orders int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if orders != int64(e.orders) {
		return replica.ErrOrderRejected
	}
	e.orders++
	e.rejected += e.waiting
	for p := range testPieces {
		if !bytes.Equal(e.staged[p], pieceOf(version, p)) {
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
	// logs are the lines of all replicas.
	logs *gbytes.Buffer
	// unlisted tells that no engine is registered.
	unlisted atomic.Bool
}

func (f *fleet) listed() ([]replica.Peer, error) {
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

func (f *fleet) host(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func (f *fleet) start(i int) *replica.Replica {
	r := replica.New(replica.Config{
		EngineAddress: f.peers[i].Address, Region: f.peers[i].Region, Engine: f.engines[i],
		Origin:          func() replica.Origin { return f.origin },
		OriginPieceTime: func() time.Duration { return time.Millisecond },
		Peers:           f.listed,
		PeerPort:        f.port, Listen: f.host(i), MaxRolloutTime: time.Second,
		Clock: clock.System{}, Log: eventlog.OpenPlain(f.logs, clock.System{}),
	})
	go func() {
		defer GinkgoRecover()
		Expect(r.Run(f.ctx)).To(Succeed())
	}()
	return r
}

func (f *fleet) declare(version int) {
	for _, r := range f.replicas {
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

func (f *fleet) expectWhole() {
	for _, e := range f.engines {
		e.mu.Lock()
		Expect(e.mixed).To(BeFalse())
		e.mu.Unlock()
	}
}
