package agent

import (
	"context"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
	standin "github.com/auburnbend/auburnbend/standin/engine"
)

var _ = Describe("A response of an engine that ignores fencing numbers", func() {
	weights := model.Weights{Base: model.Sum([]byte("v1"))}

	// load orders the engine to load weights, and returns the record of the load.
	load := func(client *engine.Client, fence engine.Fence, content string) *backend.LoadRecord {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "0"), []byte(content), 0o600)).To(Succeed())
		_, err := client.Order(context.Background(), engine.Order{Kind: engine.OrderLoad, Weights: weights, Base: engine.StagedFiles{Directory: dir}, Fence: fence})
		Expect(err).NotTo(HaveOccurred())
		s, err := client.State(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return &backend.LoadRecord{Incarnation: s.Incarnation, Accepted: s.Accepted, Weights: s.Weights}
	}

	// Guards against a load of the same weights that begins and ends between two reads of
	// the engine's state.
	It("is an error if the engine accepted another load during it", func() {
		server, err := standin.Start(standin.Config{TimeScale: 0.01, IgnoreFencing: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client, err := engine.NewClient(engine.Config{Address: server.URL()})
		Expect(err).NotTo(HaveOccurred())
		a := &Agent{cfg: Config{Clock: clock.System{}, Log: eventlog.Discard()}}
		a.live.Store(load(client, engine.Fence{Epoch: 2, Sequence: 1}, "intact"))
		e := newEngineServer(client, a)
		run := func(id string, tokens string, duringRun func()) error {
			first := true
			_, _, err := e.Run(context.Background(), wire.RequestStart{
				Request: model.RequestID(id), Attempt: model.AttemptID(id), Weights: weights, Body: []byte(`{"max_tokens":` + tokens + `}`),
				RemainingMillis: time.Minute.Milliseconds(),
			}, func([]byte) error {
				if first {
					first = false
					duringRun()
				}
				return nil
			})
			return err
		}
		Expect(run("undisturbed", "50", func() {})).To(Succeed())
		Expect(run("disturbed", "2000", func() { load(client, engine.Fence{Epoch: 1, Sequence: 9}, "corrupt") })).To(MatchError(gate.ErrWeightsChanged))
		Expect(run("afterwards", "50", func() {})).To(MatchError(gate.ErrWeightsChanged))
	})
})
