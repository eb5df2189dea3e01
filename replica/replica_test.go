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

func (e *fakeEngine) Report(context.Context) (replica.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := replica.Report{Born: e.born, Waiting: e.waiting, Orders: int64(e.orders)}
	if e.loaded > 0 {
		r.Weights = map[string]directory.Weights{"m": {Version: e.loaded, Whole: true}}
	}
	e.waiting = max(0, e.waiting-1)
	return r, nil
}

func (e *fakeEngine) PutPiece(_ context.Context, _ string, piece int, data []byte) error {
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
	return nil, replica.ErrMissing
}

func (e *fakeEngine) Start(_ context.Context, _ string, version int, orders int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if orders != int64(e.orders) {
		return replica.ErrNotAccepted
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
		Self: f.peers[i].Address, Region: f.peers[i].Region, Engine: f.engines[i],
		Origin:     func() replica.Origin { return f.origin },
		OriginTime: func() time.Duration { return time.Millisecond },
		Peers:      f.listed,
		PeerPort:   f.port, Listen: f.host(i), VersionTime: time.Second,
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
		r.Declare("m", version)
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

var _ = Describe("Replica", func() {
	const soon = 20 * time.Second

	It("brings a declared version to all engines, with one copy from the origin", func() {
		f := newFleet(1, 1, 1, 1, 1, 1)
		f.declare(1)
		f.declare(2)
		Eventually(f.serving(2), soon).Should(BeTrue())
		f.expectWhole()
		// A member that is late by chance may read a piece once more.
		Expect(f.origin.served.Load()).To(BeNumerically("<=", 2*testPieces))
	})

	It("reads a manifest from the origin at two engines of a region only", func() {
		// Guards against manifests that take the origin's link from the weights: with
		// 150 engines they were more than a third of a copy, and connections over the
		// origin's limit were reset.
		f := newFleet(1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		f.declare(2)
		Eventually(f.serving(2), soon).Should(BeTrue())
		Expect(f.origin.manifests.Load()).To(BeNumerically("<=", 4))
	})

	It("reads the manifest from the origin when those who should have it are gone", func() {
		f := newFleet(1)
		for i := range 12 {
			// Nobody listens at these addresses.
			f.peers = append(f.peers, replica.Peer{Address: fmt.Sprintf("127.0.2.%d:9", i+1), Region: "0"})
		}
		f.declare(2)
		Eventually(f.serving(2), soon).Should(BeTrue())
	})

	It("skips nothing and mixes nothing when versions follow each other", func() {
		// Guards against an engine that loads pieces of two versions.
		f := newFleet(1, 1, 1, 1)
		f.declare(2)
		time.Sleep(300 * time.Millisecond)
		f.declare(3)
		Eventually(f.serving(3), soon).Should(BeTrue())
		f.expectWhole()
	})

	It("gives up an older version that would come too late to serve", func() {
		// Guards against a version that arrives when the next one must serve already, and
		// delays it: on umurage-crest scale-1 the origin returned 2.5 s before the bound
		// of the newer version, and 2 s of it went to the older one.
		f := newFleet(1, 1)
		f.origin.takes.Store(int64(20 * time.Millisecond))
		f.declare(2)
		Eventually(f.origin.served.Load, soon).Should(BeNumerically(">=", testPieces*3/4))
		f.origin.down.Store(true)
		f.declare(3)
		time.Sleep(900 * time.Millisecond)
		f.origin.down.Store(false)
		Eventually(f.serving(3), soon).Should(BeTrue())
		for _, e := range f.engines {
			e.mu.Lock()
			Expect(e.orders).To(Equal(1))
			e.mu.Unlock()
		}
	})

	It("never loads spoilt pieces", func() {
		// Guards against weights that are not whole.
		f := newFleet(1, 1)
		f.origin.spoil.Store(7)
		f.declare(2)
		Eventually(f.serving(2), soon).Should(BeTrue())
		f.expectWhole()
		Expect(f.replicas[0].Stats().Spoilt.Load() + f.replicas[1].Stats().Spoilt.Load()).To(Equal(int64(7)))
	})

	It("brings an added engine up from peers while the origin is down", func() {
		f := newFleet(0, 0)
		f.declare(1)
		Eventually(f.serving(1), soon).Should(BeTrue())
		f.engines = append(f.engines, newFakeEngine(0))
		f.peers = append(f.peers, replica.Peer{Address: f.host(2) + ":9", Region: "0"})
		served := f.origin.served.Load()
		added := f.start(2)
		added.Declare("m", 1)
		Eventually(f.serving(1), soon).Should(BeTrue())
		Expect(f.origin.served.Load()).To(BeNumerically("<", served+testPieces))
	})

	It("fetches from peers that register after it has begun", func() {
		// Guards against restarted engines that read a whole copy each from the
		// origin because no other one was registered yet when they began.
		f := newFleet(0)
		f.declare(1)
		Eventually(f.serving(1), soon).Should(BeTrue())
		f.origin.takes.Store(int64(200 * time.Millisecond))
		f.engines = append(f.engines, newFakeEngine(0))
		f.peers = append(f.peers, replica.Peer{Address: f.host(1) + ":9", Region: "0"})
		f.unlisted.Store(true)
		served := f.origin.served.Load()
		added := f.start(1)
		added.Declare("m", 1)
		Eventually(f.origin.served.Load, soon).Should(BeNumerically(">", served))
		f.unlisted.Store(false)
		Eventually(f.serving(1), soon).Should(BeTrue())
		Expect(f.origin.served.Load()).To(BeNumerically("<", served+testPieces/2))
	})

	It("loads what an engine still holds after a restart", func() {
		f := newFleet(0)
		f.declare(1)
		Eventually(f.serving(1), soon).Should(BeTrue())
		served := f.origin.served.Load()
		f.engines[0].mu.Lock()
		f.engines[0].born, f.engines[0].loaded = 2, 0
		f.engines[0].mu.Unlock()
		Eventually(f.serving(1), soon).Should(BeTrue())
		Expect(f.origin.served.Load()).To(Equal(served))
	})

	It("fetches a piece again that has turned bad at the engine", func() {
		f := newFleet(0)
		f.declare(1)
		Eventually(f.serving(1), soon).Should(BeTrue())
		f.engines[0].mu.Lock()
		f.engines[0].staged[3] = []byte("rotten")
		f.engines[0].born, f.engines[0].loaded = 2, 0
		f.engines[0].mu.Unlock()
		Eventually(f.serving(1), soon).Should(BeTrue())
		f.expectWhole()
	})

	It("lets the requests in the engine's queue begin before its order", func() {
		// Guards against requests that wait in vain: an order rejects them.
		f := newFleet(1)
		f.declare(1)
		f.engines[0].mu.Lock()
		f.engines[0].waiting = 3
		f.engines[0].mu.Unlock()
		f.declare(2)
		Eventually(f.serving(2), soon).Should(BeTrue())
		Expect(f.engines[0].rejected).To(BeZero())
	})

	It("goes on once the origin is back", func() {
		f := newFleet(1)
		f.origin.down.Store(true)
		f.declare(2)
		Consistently(f.serving(2), 500*time.Millisecond).Should(BeFalse())
		Eventually(f.logs).Should(gbytes.Say("event=7308 .*err=down"))
		f.origin.down.Store(false)
		Eventually(f.serving(2), soon).Should(BeTrue())
		Eventually(f.logs).Should(gbytes.Say("event=7309"))
	})
})
