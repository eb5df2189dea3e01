package deployment_test

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("Roles", func() {
	// Guards against a declared role that is not applied to the engines, and against
	// requests that are routed to engines whose role is not mixed.
	It("are applied from the configuration and determine where requests run", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		d, _ := startLive(ctx, deployment.Options{
			Domains: []model.FailureDomain{"kigali", "huye"}, EntriesPerDomain: 1, AgentsPerDomain: 2,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second,
			EngineTimeScale: 0.05, EngineRestartDelay: 200 * time.Millisecond,
			Seed: 1,
		})
		client := deployment.NewClient()
		DeferCleanup(client.Close)
		rng := rand.New(rand.NewSource(1))

		calls := 0
		draft := func() string {
			calls++
			return client.Send(ctx, d.Entries[0].URL, deployment.Call{
				Service: deployment.DraftService, Tenant: deployment.TenantSmall,
				RequestID: fmt.Sprintf("draft-%d", calls), Body: deployment.DraftBody(rng, 2), Stream: true,
			}).Outcome
		}
		kigaliRuns := func() (runs int) {
			for _, a := range d.ModelAgents() {
				if a.Identity.Location.FailureDomain != "kigali" {
					continue
				}
				for i := 1; i <= calls; i++ {
					runs += a.Engine.RunCount(model.RequestID(fmt.Sprintf("draft-%d", i)))
				}
			}
			return runs
		}
		roles := func() (found []engine.Role) {
			for _, a := range d.ModelAgents() {
				found = append(found, a.Engine.State().Role)
			}
			return found
		}
		declare := func(role model.Role) {
			operator, err := d.NewOperatorClient()
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = operator.Close() }()
			newest, err := operator.Get(ctx, 0, false)
			Expect(err).NotTo(HaveOccurred())
			c := d.ConfigFor("v1")
			c.Placements[0].Role = role
			_, err = operator.Apply(ctx, config.Request{
				Config: c, Expected: newest.Head.Number, Operation: "role-" + role.String(), Author: "operator",
			})
			Expect(err).NotTo(HaveOccurred())
		}

		Eventually(draft).WithTimeout(settleTime).Should(Equal(completed))
		declare(model.RolePrefill)
		Eventually(roles).WithTimeout(settleTime).Should(Equal(
			[]engine.Role{engine.RolePrefill, engine.RolePrefill, engine.RoleMixed, engine.RoleMixed}))
		Eventually(draft).WithTimeout(settleTime).Should(Equal(completed))
		before := kigaliRuns()
		for range 20 {
			Expect(draft()).To(Equal(completed))
		}
		Expect(kigaliRuns()).To(Equal(before))

		declare(model.RoleMixed)
		Eventually(func() int {
			Expect(draft()).To(Equal(completed))
			return kigaliRuns()
		}).WithTimeout(settleTime).Should(BeNumerically(">", before))
		// Requests run as soon as the first instance has the mixed role again; the
		// others follow.
		Eventually(roles).WithTimeout(settleTime).Should(HaveEach(engine.RoleMixed))
		for _, a := range d.ModelAgents() {
			maxConcurrent, outdated := a.Engine.OrderStats()
			Expect([]int{maxConcurrent, outdated}).To(Equal([]int{1, 0}))
		}
	})
})
