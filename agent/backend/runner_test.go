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

// host stages versions on demand and remembers what is served.
type host struct {
	dir string

	mu       sync.Mutex
	served   model.Weights
	content  map[model.Weights]model.Digest
	failures int
}

func (h *host) Fetch(_ context.Context, w model.Weights) (backend.Fetched, error) {
	dir := filepath.Join(h.dir, w.String())
	digests := make([]model.Digest, 5)
	for i := range digests {
		data := fmt.Appendf(nil, "%s part %d", w, i)
		digests[i] = model.Sum(data)
		if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(filepath.Join(dir, fmt.Sprint(i)), data, 0o600)); err != nil {
			return backend.Fetched{}, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.content[w] = standin.ContentDigest(digests...)
	return backend.Fetched{Base: engine.Place{Directory: dir}}, nil
}

func (*host) Permit(context.Context, model.Weights) (bool, time.Duration, error) { return true, 0, nil }
func (*host) Quiesce(context.Context) error                                      { return nil }
func (*host) OrderDone(engine.Result)                                            {}

func (h *host) Serve(w model.Weights) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served = w
}

func (h *host) Report(_ model.Weights, phase wire.Phase, _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if phase == wire.PhaseFailed {
		h.failures++
	}
}

func (h *host) serves(w model.Weights, server *standin.Server) func() bool {
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.served == w && (w.IsZero() || server.Content() == h.content[w])
	}
}

var _ = Describe("Runner with an engine that ignores fencing", func() {
	DescribeTable("brings the wanted version live in the end", func(faults standin.Faults) {
		server, err := standin.Start(standin.Config{Scale: 0.01, IgnoreFencing: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client, err := engine.New(engine.Config{Address: server.URL()})
		Expect(err).NotTo(HaveOccurred())
		h := &host{dir: GinkgoT().TempDir(), content: make(map[model.Weights]model.Digest)}
		r := backend.NewRunner(backend.RunnerConfig{
			Machine: backend.Config{
				Guard: engine.GuardConfig{Poll: time.Millisecond, Settle: 30 * time.Millisecond},
				Watch: 5 * time.Millisecond, Retry: 10 * time.Millisecond,
			},
			Clock: clock.System{}, Random: rand.New(rand.NewSource(1)), Engine: client, Host: h,
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); r.Run(ctx) }()
		server.SetFaults(faults)
		r.Want(version("v1"))
		Eventually(h.serves(version("v1"), server), 10*time.Second).Should(BeTrue())
		server.SetFaults(faults)
		r.Want(version("v2"))
		r.Want(version("v3"))
		Eventually(h.serves(version("v3"), server), 10*time.Second).Should(BeTrue())
		server.Crash()
		Eventually(h.serves(model.Weights{}, server), 10*time.Second).Should(BeTrue())
		Eventually(h.serves(version("v3"), server), 10*time.Second).Should(BeTrue())
		atOnce, outdated := server.OrderFaults()
		Expect(atOnce).To(Equal(1))
		Expect(outdated).To(Equal(0))
		cancel()
		<-ended
	},
		Entry("without faults", standin.Faults{}),
		Entry("that loses replies", standin.Faults{DropReplies: 2}),
		Entry("that crashes during loads", standin.Faults{CrashLoads: 2}),
		Entry("that fails loads", standin.Faults{FailLoads: 2}),
	)
})
