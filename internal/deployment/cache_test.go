package deployment_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

const (
	// prefixCount is the number of prefixes with which the hit share is measured.
	prefixCount = 40
	// minHitShare is the minimum share of requests that must run on the one engine
	// that has their prefix cached, while all instances are idle.
	minHitShare = 0.9
)

var _ = Describe("Cache events", func() {
	var (
		ctx    context.Context
		d      *deployment.Deployment
		client *deployment.Client
		calls  int
	)

	start := func(disableEvents bool) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		var err error
		d, err = deployment.Start(deployment.Options{
			Domains: []model.FailureDomain{"kigali"}, EntriesPerDomain: 1, AgentsPerDomain: 4,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second,
			EngineTimeScale: 0.05, EngineRestartDelay: 200 * time.Millisecond, DisableCacheEvents: disableEvents,
			StagingDir: GinkgoT().TempDir(), Seed: 1,
		}, eventlog.New(log.NewLogfmtLogger(log.NewSyncWriter(GinkgoWriter))))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		client = deployment.NewClient()
		DeferCleanup(client.Close)
		v, err := d.PublishAndPlace(ctx, "v1")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.WaitLive(ctx, v, 50*time.Millisecond, nil)).To(Succeed())
	}

	body := func(kind string, prefix, question int) []byte {
		return fmt.Appendf(nil, `{"max_tokens":2,"prompt":"%s %d %s %d"}`, kind, prefix, strings.Repeat("crest ", 60), question)
	}

	// warm makes an engine cache a prefix with a request that bypasses the entry.
	warm := func(kind string, prefix int) {
		agents := d.ModelAgents()
		c, err := engine.NewClient(engine.Config{Address: agents[prefix%len(agents)].Engine.URL()})
		Expect(err).NotTo(HaveOccurred())
		b := body(kind, prefix, 0)
		s, err := c.Generate(ctx, engine.Request{
			ID: model.RequestID(fmt.Sprint("warm-", kind, prefix)), Stream: fmt.Sprint("warm-", kind, prefix),
			Weights: d.Versions[0].Weights, Prefix: engine.HashPrefix(b), Body: b,
		})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		for err == nil {
			_, err = s.Next()
		}
		Expect(errors.Is(err, io.EOF)).To(BeTrue())
	}

	hits := func() (sum int) {
		for _, a := range d.ModelAgents() {
			h, _ := a.Engine.CacheStats()
			sum += h
		}
		return sum
	}

	// sendAndCheckHit sends a request through the entry and reports whether the
	// engine that ran it had its prefix cached.
	sendAndCheckHit := func(kind string, prefix int) bool {
		before := hits()
		calls++
		a := client.Send(ctx, d.Entries[0].URL, deployment.Call{
			Service: deployment.DraftService, Tenant: deployment.TenantSmall,
			RequestID: fmt.Sprintf("ask-%d", calls), Body: body(kind, prefix, calls), Stream: true,
		})
		return a.Outcome == completed && hits() > before
	}

	measureHitShare := func() float64 {
		found := 0
		for i := range prefixCount {
			if sendAndCheckHit("measured", i) {
				found++
			}
		}
		return float64(found) / prefixCount
	}

	warmAll := func() {
		for i := range prefixCount {
			warm("measured", i)
		}
	}

	// Guards against cache events that do not reach the picker, and against events
	// that identify a prefix by another hash than requests do.
	It("route requests to the instances that have their prefix cached", func() {
		start(false)
		warmAll()
		unannounced := func() (count int) {
			for i := range prefixCount {
				if !d.Entries[0].Entry.PrefixCached(body("measured", i, 0), d.Versions[0].Weights) {
					count++
				}
			}
			return count
		}
		Eventually(unannounced).WithTimeout(settleTime).Should(BeZero())
		hitShare := measureHitShare()
		AddReportEntry("hit share with cache events", hitShare)
		Expect(hitShare).To(BeNumerically(">=", minHitShare))
	})

	// Guards against a setup in which the spec above would pass without cache events.
	It("are needed to reach the hit share", func() {
		start(true)
		warmAll()
		hitShare := measureHitShare()
		AddReportEntry("hit share without cache events", hitShare)
		Expect(hitShare).To(BeNumerically("<", minHitShare))
	})
})
