package deployment_test

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/engine"
)

var _ = Describe("A load that the agent did not order", func() {
	// Guards against a response that ends as a success although its engine began to load
	// during it, for example by the order of an earlier agent that was stopped and
	// resumed. Engines that ignore fencing numbers accept such an order.
	It("lets no response complete that was computed with mixed weights", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		d, v := startLive(ctx, deployment.Options{
			Domains: []model.FailureDomain{"kigali"}, EntriesPerDomain: 1, AgentsPerDomain: 3,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second,
			EngineTimeScale: 0.4, EngineRestartDelay: 200 * time.Millisecond,
			Seed: 2,
		})
		var agent *deployment.AgentProcess
		for _, a := range d.ModelAgents() {
			if a.IgnoresFencing() && agent == nil {
				agent = a
			} else {
				a.Kill()
			}
		}
		Expect(agent).NotTo(BeNil())
		first := agent.Engine.AcceptedOrders()[0]
		// One file is corrupt during the load only.
		file := filepath.Join(first.Base.Directory, first.Base.Files[0])
		intact, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())

		client := deployment.NewClient()
		DeferCleanup(client.Close)
		send := func(id string, body []byte) deployment.Answer {
			return client.Send(ctx, d.Entries[0].URL, deployment.Call{
				Service: deployment.DraftService, Tenant: deployment.TenantSmall, RequestID: id, Body: body, Stream: true,
			})
		}
		ready := 0
		Eventually(func() string {
			ready++
			return send(fmt.Sprintf("ready-%d", ready), deployment.DraftBody(rand.New(rand.NewSource(int64(ready))), 2)).Outcome
		}).WithTimeout(settleTime).Should(Equal(completed))

		body := deployment.DraftBody(rand.New(rand.NewSource(1)), 500) // takes 4 s
		answers := make(chan deployment.Answer, 1)
		go func() { answers <- send("long", body) }()
		Eventually(func() int { return d.DraftRuns("long") }).WithTimeout(settleTime).Should(Equal(1))
		time.Sleep(300 * time.Millisecond) // some tokens from intact weights

		orders, err := api.NewClient(api.Config{Address: agent.Engine.URL()})
		Expect(err).NotTo(HaveOccurred())
		stray := first
		stray.Fence = api.Fence{Epoch: first.Fence.Epoch - 1, Sequence: 1}
		Expect(os.WriteFile(file, []byte("corrupt"), 0o600)).To(Succeed())
		_, err = orders.Order(ctx, stray)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(file, intact, 0o600)).To(Succeed())

		a := <-answers
		if a.Outcome == completed {
			Expect(string(a.Body)).To(Equal(string(engine.ExpectedResponse(v.ContentDigest, body))))
		}
		Eventually(func() string {
			ready++
			return send(fmt.Sprintf("ready-%d", ready), deployment.DraftBody(rand.New(rand.NewSource(int64(ready))), 2)).Outcome
		}).WithTimeout(settleTime).Should(Equal(completed))
		Expect(agent.Engine.LoadedDigest()).To(Equal(v.ContentDigest))
		Expect(d.WrongContentRuns()).To(BeZero())
	})
})
