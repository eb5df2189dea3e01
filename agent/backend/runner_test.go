package backend_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
	standin "github.com/auburnbend/auburnbend/standin/engine"
)

// fakeHost stages versions on demand and records which weights are served.
type fakeHost struct {
	dir string

	mu       sync.Mutex
	served   model.Weights
	content  map[model.Weights]model.Digest
	failures int
	// refusing is true from a call of Quiesce to the next call of Serve.
	refusing bool
	// quiesceCalls is the number of running Quiesce calls.
	quiesceCalls int
	// overlaps counts calls of Quiesce or Serve during another call of Quiesce.
	overlaps int
	// blockQuiesce makes Quiesce wait until its context ends.
	blockQuiesce bool
}

func (h *fakeHost) Fetch(_ context.Context, w model.Weights) (backend.StagedWeights, error) {
	dir := filepath.Join(h.dir, w.String())
	digests := make([]model.Digest, 5)
	for i := range digests {
		data := fmt.Appendf(nil, "%s part %d", w, i)
		digests[i] = model.Sum(data)
		if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(filepath.Join(dir, fmt.Sprint(i)), data, 0o600)); err != nil {
			return backend.StagedWeights{}, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.content[w] = standin.ContentDigest(digests...)
	return backend.StagedWeights{Base: engine.StagedFiles{Directory: dir}}, nil
}

func (*fakeHost) RequestPermit(context.Context, model.Weights) (bool, time.Duration, error) {
	return true, 0, nil
}
func (*fakeHost) OrderDone(engine.Result) {}

// Quiesce refuses requests even if its context has already ended, as the gate does.
func (h *fakeHost) Quiesce(ctx context.Context) error {
	h.mu.Lock()
	h.refusing = true
	h.quiesceCalls++
	h.overlaps += h.quiesceCalls - 1
	hang := h.blockQuiesce
	h.mu.Unlock()
	if hang {
		<-ctx.Done()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quiesceCalls--
	return ctx.Err()
}

func (h *fakeHost) Serve(w model.Weights) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served, h.refusing = w, false
	h.overlaps += h.quiesceCalls
}

func (h *fakeHost) ReportPhase(_ model.Weights, phase wire.Phase, _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if phase == wire.PhaseFailed {
		h.failures++
	}
}

func (h *fakeHost) serves(w model.Weights, server *standin.Server) func() bool {
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return !h.refusing && h.served == w && (w.IsZero() || server.LoadedDigest() == h.content[w])
	}
}

// startRunner starts an engine that ignores fencing and a runner for it.
func startRunner() (*backend.Runner, *fakeHost, *standin.Server) {
	server, err := standin.Start(standin.Config{TimeScale: 0.01, IgnoreFencing: true})
	Expect(err).NotTo(HaveOccurred())
	client, err := engine.NewClient(engine.Config{Address: server.URL()})
	Expect(err).NotTo(HaveOccurred())
	h := &fakeHost{dir: GinkgoT().TempDir(), content: make(map[model.Weights]model.Digest)}
	r := backend.NewRunner(backend.RunnerConfig{
		Machine: backend.Config{
			Guard:             engine.GuardConfig{PollInterval: time.Millisecond, SettleTime: 30 * time.Millisecond},
			StatePollInterval: 5 * time.Millisecond, MinBackoff: 10 * time.Millisecond,
		},
		Clock: clock.System{}, Random: rand.New(rand.NewSource(1)), Engine: client, Host: h,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); r.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		<-ended
		Expect(server.Close()).To(Succeed())
	})
	return r, h, server
}

var _ = Describe("Runner with an engine that ignores fencing", func() {
	// Guards against a quiesce that outlasts the change of version that it belongs to.
	// The instance would then be live but refuse all requests.
	It("admits requests again whenever the live version is wanted again", func() {
		r, h, server := startRunner()
		r.SetWanted(version("v1"))
		Eventually(h.serves(version("v1"), server), 10*time.Second).Should(BeTrue())
		h.mu.Lock()
		h.blockQuiesce = true
		h.mu.Unlock()
		for range 20 {
			r.SetWanted(version("v2"))
			Eventually(func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.quiesceCalls > 0 }, 10*time.Second, time.Millisecond).Should(BeTrue())
			r.SetWanted(version("v1"))
			Eventually(h.serves(version("v1"), server), 10*time.Second, time.Millisecond).Should(BeTrue())
			Consistently(h.serves(version("v1"), server), 5*time.Millisecond, time.Millisecond).Should(BeTrue())
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.overlaps).To(Equal(0))
	})

	DescribeTable("eventually makes the wanted version live", func(faults standin.Faults) {
		r, h, server := startRunner()
		server.SetFaults(faults)
		r.SetWanted(version("v1"))
		Eventually(h.serves(version("v1"), server), 10*time.Second).Should(BeTrue())
		server.SetFaults(faults)
		r.SetWanted(version("v2"))
		r.SetWanted(version("v3"))
		Eventually(h.serves(version("v3"), server), 10*time.Second).Should(BeTrue())
		server.Crash()
		Eventually(h.serves(model.Weights{}, server), 10*time.Second).Should(BeTrue())
		Eventually(h.serves(version("v3"), server), 10*time.Second).Should(BeTrue())
		maxConcurrent, outdated := server.OrderStats()
		Expect(maxConcurrent).To(Equal(1))
		Expect(outdated).To(Equal(0))
	},
		Entry("without faults", standin.Faults{}),
		Entry("with lost replies", standin.Faults{DropReplies: 2}),
		Entry("with crashes during loads", standin.Faults{CrashLoads: 2}),
		Entry("with failed loads", standin.Faults{FailLoads: 2}),
	)
})
