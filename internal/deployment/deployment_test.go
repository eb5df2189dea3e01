package deployment_test

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/engine"
	"github.com/auburnbend/auburnbend/standin/fault"
)

const (
	completed = "completed"
	// settleTime is the timeout of waits for a state that the deployment reaches by
	// itself. It is not a bound on the behaviour of the system.
	settleTime = 20 * time.Second
)

var _ = Describe("A deployment", func() {
	var (
		d      *deployment.Deployment
		client *deployment.Client
		ctx    context.Context
		rng    *rand.Rand
		calls  int
	)

	rollOut := func(name string) {
		v, err := d.PublishAndPlace(ctx, name)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.WaitLive(ctx, v, 50*time.Millisecond, nil)).To(Succeed())
	}

	draft := func(entry int, body []byte) deployment.Answer {
		calls++
		return client.Send(ctx, d.Entries[entry].URL, deployment.Call{
			Service: deployment.DraftService, Tenant: deployment.TenantSmall,
			RequestID: fmt.Sprintf("draft-%d", calls), Body: body, Stream: true,
		})
	}

	order := func(entry int, key string) deployment.Answer {
		calls++
		return client.Send(ctx, d.Entries[entry].URL, deployment.Call{
			Service: deployment.OrderService, Tenant: deployment.TenantSmall,
			RequestID: fmt.Sprintf("order-%d", calls), IdempotencyKey: key, Body: []byte(`{"plate":"` + key + `"}`),
		})
	}

	// ready waits until an entry answers drafts and orders.
	ready := func(entry int) {
		Eventually(func() string { return draft(entry, deployment.DraftBody(rng, 2)).Outcome }).
			WithTimeout(settleTime).Should(Equal(completed))
		Eventually(func() string { return order(entry, fmt.Sprintf("ready-%d", calls)).Outcome }).
			WithTimeout(settleTime).Should(Equal(completed))
	}

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		rng = rand.New(rand.NewSource(1))
		var err error
		d, err = deployment.Start(deployment.Options{
			Domains: []model.FailureDomain{"kigali", "huye"}, EntriesPerDomain: 2, AgentsPerDomain: 3, ServicesPerDomain: 1,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second,
			EngineTimeScale: 0.05, EngineRestartDelay: 200 * time.Millisecond,
			StagingDir: GinkgoT().TempDir(), Seed: 1,
		}, eventlog.New(log.NewLogfmtLogger(log.NewSyncWriter(GinkgoWriter))))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		client = deployment.NewClient()
		DeferCleanup(client.Close)
		rollOut("v1")
		for i := range d.Entries {
			ready(i)
		}
	})

	// Guards against components that work separately but not together, from the
	// declaration of a version to complete answers from that version only.
	It("answers callers through every entry from the placed version", func() {
		rollOut("v2")
		for i := range d.Entries {
			body := deployment.DraftBody(rng, 20)
			a := draft(i, body)
			Expect(a.Outcome).To(Equal(completed))
			version, complete := d.VersionOfAnswer(a.Body, body)
			Expect(complete).To(BeTrue())
			Expect(version.Name).To(Equal("v2"))
		}
	})

	// startLongDrafts sends requests with long answers, waits until each has started
	// to run and returns a channel with the answers.
	startLongDrafts := func(count int, url func(int) string) <-chan deployment.Answer {
		answers := make(chan deployment.Answer, count)
		for i := range count {
			go func() {
				answers <- client.Send(ctx, url(i), deployment.Call{
					Service: deployment.DraftService, Tenant: deployment.TenantSmall,
					RequestID: fmt.Sprintf("long-%d", i), Body: deployment.DraftBody(rand.New(rand.NewSource(int64(i))), 200), Stream: true,
				})
			}()
		}
		for i := range count {
			Eventually(func() int { return d.DraftRuns(fmt.Sprintf("long-%d", i)) }).WithTimeout(settleTime).Should(Equal(1))
		}
		return answers
	}

	// Guards against requests that are cut off by a graceful shutdown.
	It("cuts off no request when agents are stopped", func() {
		answers := startLongDrafts(24, func(i int) string { return d.Entries[i%len(d.Entries)].URL })
		Expect(d.ModelAgents()[0].Stop(ctx)).To(Succeed())
		Expect(d.ModelAgents()[3].Stop(ctx)).To(Succeed())
		for range cap(answers) {
			Expect((<-answers).Outcome).To(Equal(completed))
		}
	})

	// Guards against an HTTP library that closes connections at a shutdown timeout of
	// its own.
	It("cuts off no request when an entry is stopped", func() {
		answers := startLongDrafts(8, func(int) string { return d.Entries[0].URL })
		Expect(d.Entries[0].Stop(ctx)).To(Succeed())
		for range cap(answers) {
			Expect((<-answers).Outcome).To(Equal(completed))
		}
	})

	// Guards against backend servers that are ejected because of a broken network
	// path, and against streams that stay open forever on a blackholed connection.
	It("succeeds over new connections within 5 s when all open ones are blackholed", func() {
		body := deployment.DraftBody(rng, 8)
		blackholed := time.Now()
		for _, e := range d.Entries {
			e.BlackholeConnections()
		}
		var a deployment.Answer
		Eventually(func() string {
			a = draft(0, body)
			return a.Outcome
		}).WithTimeout(settleTime).WithPolling(50 * time.Millisecond).Should(Equal(completed))
		Expect(time.Since(blackholed)).To(BeNumerically("<", 5*time.Second))
		_, complete := d.VersionOfAnswer(a.Body, body)
		Expect(complete).To(BeTrue())
		Eventually(func() int { return d.Entries[0].Entry.UsableAgents() }).
			WithTimeout(settleTime).Should(Equal(len(d.Agents)))
	})

	// Guards against a request that crashes one backend server after another while
	// its caller retries it with new ids at other entries.
	It("loses at most two backend servers to a request that crashes them", func() {
		body := []byte(`{"max_tokens":5,"prompt":"` + engine.DefaultCrashMarker + `"}`)
		for i := range 12 {
			a := draft(i%len(d.Entries), body)
			Expect(a.Outcome).NotTo(Equal(completed))
		}
		crashed := 0
		for _, agent := range d.ModelAgents() {
			if agent.Engine.State().Incarnation > 1 {
				crashed++
			}
		}
		Expect(crashed).To(BeNumerically("<=", 2))
		Eventually(func() string { return draft(1, deployment.DraftBody(rng, 3)).Outcome }).
			WithTimeout(settleTime).Should(Equal(completed))
	})

	// Guards against orders that run without a stored claim while the table service
	// is down, and against an outage that affects requests without a key.
	It("refuses keyed orders and serves drafts while the table service is down", func() {
		d.Table.Faults.Set(fault.Faults{Down: true})
		a := order(0, "outage")
		Expect(a.Outcome).To(Equal("not_run"))
		Expect(d.OrderRuns("outage")).To(BeZero())
		Expect(draft(1, deployment.DraftBody(rng, 5)).Outcome).To(Equal(completed))
		d.Table.Faults.Set(fault.Faults{})
		Eventually(func() string { return order(0, "outage").Outcome }).
			WithTimeout(settleTime).Should(Equal(completed))
		Expect(d.OrderRuns("outage")).To(Equal(1))
	})

	// Guards against a second run when the reply to a claim is lost, or when callers
	// send the same key to several entries.
	It("runs an order at most once when replies are lost and callers send it to several entries", func() {
		for i := range 8 {
			key := fmt.Sprintf("plate-%d", i)
			d.Table.Faults.Set(fault.Faults{LoseAfter: i % 3})
			answers := make(chan deployment.Answer, 3)
			for n := range cap(answers) {
				go func() {
					answers <- client.Send(ctx, d.Entries[(i+n)%len(d.Entries)].URL, deployment.Call{
						Service: deployment.OrderService, Tenant: deployment.TenantLarge,
						RequestID: fmt.Sprintf("%s-%d", key, n), IdempotencyKey: key, Body: []byte(key),
					})
				}()
			}
			for range cap(answers) {
				<-answers
			}
			Expect(d.OrderRuns(key)).To(BeNumerically("<=", 1))
		}
		d.Table.Faults.Set(fault.Faults{})
		Eventually(func() string { return order(2, "plate-after").Outcome }).
			WithTimeout(settleTime).Should(Equal(completed))
	})

	// Guards against placements that use more instances than declared, and against
	// lost replicas that are not replaced.
	It("serves a version on the declared number of instances and replaces one that is killed", func() {
		d.ReplicasPerDomain = 2
		v2, err := d.PublishAndPlace(ctx, "v2")
		Expect(err).NotTo(HaveOccurred())
		live := func() int { return d.CountServing(v2) }
		Eventually(live).WithTimeout(settleTime).Should(Equal(4))
		Consistently(live).WithTimeout(2 * time.Second).Should(Equal(4))
		for _, a := range d.ModelAgents() {
			if a.Serves(v2) {
				a.Kill()
				break
			}
		}
		Eventually(live).WithTimeout(settleTime).Should(Equal(4))
	})

	// Guards against an entry whose loss makes its failure domain unavailable.
	It("continues through the other entries when one is killed", func() {
		d.Entries[0].Kill()
		rollOut("v2")
		Expect(draft(1, deployment.DraftBody(rng, 5)).Outcome).To(Equal(completed))
		a := order(1, "after-kill")
		Expect(a.Outcome).To(Equal(completed))
		Expect(d.OrderRuns("after-kill")).To(Equal(1))
	})
})
