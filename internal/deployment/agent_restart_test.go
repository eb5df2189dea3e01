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
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("Restarted agents", func() {
	// Guards against engines that all load again when their agents are replaced, and
	// against weights that are served although no agent knows what the engine has read.
	It("serve what their engines hold if its load is recorded, and load it again otherwise", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		d, v := startLive(ctx, deployment.Options{
			Domains: []model.FailureDomain{"kigali"}, EntriesPerDomain: 1, AgentsPerDomain: 3,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10,
			TransferWindow:  12 * time.Second, // transfers take longer than the 3 s after which a record counts
			EngineTimeScale: 0.05, EngineRestartDelay: 200 * time.Millisecond,
			Seed: 2,
		})
		client := deployment.NewClient()
		DeferCleanup(client.Close)
		rng, calls := rand.New(rand.NewSource(1)), 0
		draft := func() string {
			calls++
			return client.Send(ctx, d.Entries[0].URL, deployment.Call{
				Service: deployment.DraftService, Tenant: deployment.TenantSmall,
				RequestID: fmt.Sprintf("draft-%d", calls), Body: deployment.DraftBody(rng, 2), Stream: true,
			}).Outcome
		}
		loads := func() (counts []int) {
			for _, a := range d.ModelAgents() {
				counts = append(counts, len(a.Engine.AcceptedOrders()))
			}
			return counts
		}
		ignoring := 0
		for _, a := range d.ModelAgents() {
			if a.IgnoresFencing() {
				ignoring++
			}
		}
		Expect(ignoring).To(And(BeNumerically(">", 0), BeNumerically("<", 3)))

		for _, a := range d.ModelAgents() {
			Expect(a.RestartAgent()).To(Succeed())
		}
		Expect(d.WaitLive(ctx, v, 50*time.Millisecond, nil)).To(Succeed())
		Expect(loads()).To(Equal([]int{1, 1, 1}))
		Eventually(draft).WithTimeout(settleTime).Should(Equal(completed))
		for range 30 {
			Expect(draft()).To(Equal(completed))
		}

		for _, a := range d.ModelAgents() {
			Expect(os.Remove(filepath.Join(a.StagingDir(), "loaded.json"))).To(Succeed())
			Expect(a.RestartAgent()).To(Succeed())
		}
		Expect(d.WaitLive(ctx, v, 50*time.Millisecond, nil)).To(Succeed())
		Expect(loads()).To(Equal([]int{2, 2, 2}))
		Eventually(draft).WithTimeout(settleTime).Should(Equal(completed))
		Expect(d.WrongContentRuns()).To(BeZero())
	})
})
