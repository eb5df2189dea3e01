package deployment_test

import (
	"context"
	"math/rand"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("A deployment", func() {
	var (
		d      *deployment.Deployment
		client *deployment.Client
		ctx    context.Context
		rng    *rand.Rand
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		rng = rand.New(rand.NewSource(1))
		var err error
		d, err = deployment.Start(deployment.Options{
			Domains: []model.FailureDomain{"kigali", "huye"}, Entries: 2, Agents: 3, Services: 1,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, Window: 2 * time.Second,
			EngineScale: 0.05, EngineRestart: 200 * time.Millisecond,
			Directory: GinkgoT().TempDir(), Seed: 1,
		}, eventlog.New(log.NewLogfmtLogger(log.NewSyncWriter(GinkgoWriter))))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		client = deployment.NewClient()
		DeferCleanup(client.Close)
	})

	apply := func(version string) {
		head, err := d.Store.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = d.Store.Apply(ctx, config.Request{
			Config: d.Declare(version), Expected: head.Number, Operation: "place-" + version, Author: "test",
		})
		Expect(err).NotTo(HaveOccurred())
	}

	// Guards against parts that work alone but not together: the whole path from
	// a declared version to a whole answer.
	It("brings a version to all instances and answers callers from it", func() {
		v1, err := d.Publish("v1")
		Expect(err).NotTo(HaveOccurred())
		apply("v1")
		Expect(d.WaitLive(ctx, v1, 50*time.Millisecond, nil)).To(Succeed())
		for _, e := range d.Entries {
			body := deployment.DraftBody(rng, 20)
			var a deployment.Answer
			Eventually(func() string {
				a = client.Send(ctx, e.URL, deployment.Call{
					Service: deployment.DraftService, Tenant: deployment.TenantSmall, Request: "r", Body: body, Stream: true,
				})
				return a.Outcome
			}).WithTimeout(10 * time.Second).Should(Equal("completed"))
			version, ok := d.VersionOf(a.Body, body)
			Expect(ok).To(BeTrue())
			Expect(version.Name).To(Equal("v1"))
		}
	})
})
