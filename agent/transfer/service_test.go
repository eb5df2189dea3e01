package transfer_test

import (
	"bytes"
	"context"
	"io"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/agent/transfer"
	"github.com/auburnbend/auburnbend/entry/tracker"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// memorySource serves objects from memory and injects faults.
type memorySource struct {
	mu       sync.Mutex
	objects  map[string][]byte
	bytes    int64
	short    int // number of reads to truncate to 100 bytes
	corrupt  int // number of reads to corrupt
	throttle int // number of reads to refuse
}

func (s *memorySource) ReadRange(_ context.Context, object string, offset, length int64) (io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.throttle > 0 {
		s.throttle--
		return nil, &backing.ThrottledError{RetryAfter: 20 * time.Millisecond}
	}
	all, ok := s.objects[object]
	if !ok {
		return nil, backing.ErrNotFound
	}
	data := bytes.Clone(all[min(offset, int64(len(all))):min(offset+length, int64(len(all)))])
	if s.short > 0 && len(data) > 100 {
		s.short--
		data = data[:100]
	}
	if s.corrupt > 0 && len(data) > 0 {
		s.corrupt--
		data[0] ^= 1
	}
	s.bytes += int64(len(data))
	return io.NopCloser(bytes.NewReader(data)), nil
}

var _ = Describe("Service", func() {
	var (
		origin  *memorySource
		store   backing.WeightSource // nil means no weight store
		chunks  *weights.Store       // nil means the default
		data    = make([]byte, 40_000)
		digests [2]model.Digest
		closers []func()
	)
	listen := func(hello wire.Hello, serve func(*wire.Conn, wire.Hello) error) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closers = append(closers, func() { _ = l.Close() })
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					if conn, peer, err := wire.Handshake(nc, hello); err == nil {
						_ = serve(conn, peer)
						_ = conn.Close()
					}
				}()
			}
		}()
		return l.Addr().String()
	}
	start := func(name string) *transfer.Service {
		var s *transfer.Service
		ready := make(chan struct{})
		address := listen(wire.Hello{Role: wire.RoleAgent}, func(c *wire.Conn, _ wire.Hello) error {
			<-ready
			return s.ServePeer(c)
		})
		s = transfer.New(transfer.Config{
			Seed: 1, Origin: origin, WeightStore: store, Chunks: chunks, Identity: model.Identity{Instance: model.InstanceID(name), Address: address},
		})
		close(ready)
		closers = append(closers, s.Close)
		return s
	}
	var lastTracker *tracker.Service // the most recently started one
	startEntry := func() string {
		lastTracker = tracker.New(tracker.Config{Seed: 1})
		return listen(wire.Hello{Role: wire.RoleEntry}, lastTracker.Serve)
	}

	BeforeEach(func() {
		closers, store, chunks = nil, nil, nil
		rand.New(rand.NewSource(1)).Read(data)
		origin = &memorySource{objects: make(map[string][]byte)}
		for i, size := range []int{40_000, 30_000} {
			object := []string{"v0", "v1"}[i]
			m, err := weights.BuildBytes(data[:size], object, model.Digest{}, 1000)
			Expect(err).NotTo(HaveOccurred())
			encoded, err := m.Encode()
			Expect(err).NotTo(HaveOccurred())
			origin.objects[object], origin.objects[object+"/manifest"] = data[:size], encoded
			digests[i] = model.Sum(encoded)
		}
	})
	AfterEach(func() {
		for _, c := range closers {
			c()
		}
	})
	fetch := func(ctx context.Context, agents ...*transfer.Service) {
		var wg sync.WaitGroup
		errs := make([]error, len(agents))
		for i, a := range agents {
			wg.Go(func() { errs[i] = a.Fetch(ctx, digests[0], "v0/manifest") })
		}
		wg.Wait()
		for _, err := range errs {
			Expect(err).NotTo(HaveOccurred())
		}
	}

	// Guards against reading bytes from the origin that the weight store could
	// have served, and against a transfer that stops when the weight store
	// throttles or lacks an object.
	It("prefers the weight store and falls back to the origin", func(ctx SpecContext) {
		full := &memorySource{objects: origin.objects, throttle: 3}
		store = full
		a := start("a")
		a.SetEntries([]string{startEntry()})
		fetch(ctx, a)
		Expect(a.Progress().StoreBytes).To(BeNumerically(">=", int64(len(data)/2)))
		Expect(a.Progress().OriginBytes + a.Progress().StoreBytes).To(BeNumerically("<=", int64(len(data)*12/10)))

		store = &memorySource{objects: map[string][]byte{}}
		b := start("b")
		b.SetEntries([]string{startEntry()})
		fetch(ctx, b)
		Expect(b.Progress().OriginBytes).To(BeNumerically(">=", int64(len(data))))
	})

	It("reads about one copy from the origin for all agents and reuses chunks for the next version", func(ctx SpecContext) {
		entry := startEntry()
		agents := []*transfer.Service{start("a"), start("b"), start("c")}
		for _, a := range agents {
			a.SetEntries([]string{entry})
		}
		fetch(ctx, agents...)
		Expect(origin.bytes).To(BeNumerically("<", 60_000))
		Expect(agents[0].Verify(digests[0])).To(Succeed())
		before := origin.bytes
		Expect(agents[0].Fetch(ctx, digests[1], "v1/manifest")).To(Succeed())
		Expect(origin.bytes-before).To(BeNumerically("<", 5000), "only the manifest differs")

		// Guards against a rollout status that includes the bytes of earlier
		// versions.
		bytesOf := func(manifest model.Digest) (sum int64) {
			for _, i := range lastTracker.Report().Instances {
				if i.Status.Manifest == manifest {
					sum += i.Status.OriginBytes + i.Status.PeerBytes
				}
			}
			return sum
		}
		Eventually(func() []wire.InstanceStatus { return lastTracker.Report().Instances }, 10*time.Second).
			Should(ContainElement(HaveField("Status.Manifest", digests[1])))
		Expect(bytesOf(digests[1])).To(BeZero())
	}, SpecTimeout(20*time.Second))

	It("recovers from truncated, corrupt and throttled reads and from a corrupt manifest", func(ctx SpecContext) {
		entry := startEntry()
		a := start("a")
		a.SetEntries([]string{entry})
		origin.short, origin.corrupt, origin.throttle = 20, 3, 2
		fetch(ctx, a)
	}, SpecTimeout(20*time.Second))

	// Guards against waiting for an unreachable tracker.
	It("uses another tracker if one is unreachable, and completes without any tracker", func(ctx SpecContext) {
		a, b := start("a"), start("b")
		a.SetEntries([]string{"127.0.0.1:1", startEntry()})
		fetch(ctx, a)
		b.SetEntries([]string{"127.0.0.1:1"})
		b.SetPeers([]string{a.Address()})
		before := origin.bytes
		fetch(ctx, b)
		Expect(origin.bytes - before).To(BeNumerically("<", 20_000))
	}, SpecTimeout(30*time.Second))

	// stagedChunks makes the next service keep its chunks in a directory. The returned
	// function gives the file of a chunk of the first version.
	stagedChunks := func() (file func(index int) string) {
		dir := GinkgoT().TempDir()
		storage, err := weights.NewDirectoryStorage(dir)
		Expect(err).NotTo(HaveOccurred())
		chunks = weights.NewStore(weights.StoreConfig{Storage: storage})
		return func(index int) string {
			return filepath.Join(dir, weights.ChunkFile(model.Sum(data[index*1000:(index+1)*1000])))
		}
	}

	// Guards against an instance that never gets a version whose staged file became
	// corrupt after the version was complete.
	DescribeTable("fetches a chunk again that was lost after the version was complete", func(ctx SpecContext, spoil func(file string) error) {
		file := stagedChunks()
		a := start("a")
		a.SetEntries([]string{startEntry()})
		fetch(ctx, a)
		Expect(spoil(file(7))).To(Succeed())
		Expect(a.Verify(digests[0])).NotTo(Succeed())
		before := origin.bytes
		fetch(ctx, a)
		Expect(a.Verify(digests[0])).To(Succeed())
		Expect(origin.bytes-before).To(BeEquivalentTo(1000), "only the lost chunk is read again")
	},
		Entry("because its file is corrupt", SpecTimeout(20*time.Second), func(file string) error { return os.WriteFile(file, bytes.Repeat([]byte{1}, 1000), 0o600) }),
		Entry("because its file was truncated", SpecTimeout(20*time.Second), func(file string) error { return os.Truncate(file, 500) }),
		Entry("because its file was deleted", SpecTimeout(20*time.Second), os.Remove),
	)

	// Guards against an instance that offers and sends a corrupt chunk for as long as it
	// lives, so that each receiver has to find out and fetch it again.
	DescribeTable("refuses a chunk whose file is not intact, and no longer offers it", func(ctx SpecContext, spoil func(file string) error) {
		file := stagedChunks()
		a := start("a")
		a.SetEntries([]string{startEntry()})
		fetch(ctx, a)
		nc, err := net.Dial("tcp", a.Address())
		Expect(err).NotTo(HaveOccurred())
		conn, _, err := wire.Handshake(nc, wire.Hello{Role: wire.RoleAgent})
		Expect(err).NotTo(HaveOccurred())
		closers = append(closers, func() { _ = conn.Close() })
		ask := func(m wire.Message) wire.Message {
			Expect(conn.Send(m)).To(Succeed())
			reply, err := conn.Receive()
			Expect(err).NotTo(HaveOccurred())
			return reply
		}
		chunk := &wire.ChunkFetch{RequestID: 1, Chunk: model.Sum(data[9000:10_000])}
		Expect(ask(chunk)).To(HaveField("Data", data[9000:10_000]))
		Expect(spoil(file(9))).To(Succeed())
		Expect(ask(chunk)).To(BeAssignableToTypeOf(&wire.ChunkRefused{}))
		offered, ok := ask(&wire.Announce{Manifest: digests[0]}).(*wire.Announce)
		Expect(ok).To(BeTrue())
		Expect(weights.Bitmap(offered.ChunkBitmap).Count()).To(Equal(39))
	},
		Entry("because it is corrupt", SpecTimeout(20*time.Second), func(file string) error { return os.WriteFile(file, bytes.Repeat([]byte{1}, 1000), 0o600) }),
		Entry("because it was truncated", SpecTimeout(20*time.Second), func(file string) error { return os.Truncate(file, 500) }),
		Entry("because it was deleted", SpecTimeout(20*time.Second), os.Remove),
	)

	// Guards against a corrupt staged file that is found only when the version is
	// requested again.
	It("verifies a complete version again when it is requested again", func(ctx SpecContext) {
		file := stagedChunks()
		a := start("a")
		a.SetEntries([]string{startEntry()})
		fetch(ctx, a)
		Expect(os.Truncate(file(3), 10)).To(Succeed())
		fetch(ctx, a)
		Expect(a.Verify(digests[0])).To(Succeed())
	}, SpecTimeout(20*time.Second))

	// Guards against a fetch that blocks the next one.
	It("replaces a target version that cannot complete", func(ctx SpecContext) {
		a := start("a")
		a.SetEntries([]string{startEntry()})
		delete(origin.objects, "v0")
		failed := make(chan error, 1)
		go func() { failed <- a.Fetch(ctx, digests[0], "v0/manifest") }()
		Eventually(func() int { return a.Progress().TotalChunks }, 5*time.Second).Should(Equal(40))
		Expect(a.Fetch(ctx, digests[1], "v1/manifest")).To(Succeed())
		Expect(<-failed).To(MatchError(transfer.ErrReplaced))
	}, SpecTimeout(20*time.Second))
})
