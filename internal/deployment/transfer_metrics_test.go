package deployment_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

var transferred = regexp.MustCompile(`auburnbend_transfer_bytes_total\{model="crest",source="([a-z_]+)"\} ([0-9.e+]+)`)

var _ = Describe("Transfer metrics", func() {
	// Guards against transfers that are missing in the metrics, and against bytes that
	// are counted twice or without a model.
	It("count the time and bytes of a version at each agent", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		d, err := deployment.Start(deployment.Options{
			Domains: []model.FailureDomain{"kigali"}, EntriesPerDomain: 1, AgentsPerDomain: 3,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second,
			EngineTimeScale: 0.05, EngineRestartDelay: 200 * time.Millisecond,
			StagingDir: GinkgoT().TempDir(), Seed: 1,
		}, eventlog.Discard())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		v, err := d.PublishAndPlace(ctx, "v1")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.WaitLive(ctx, v, 50*time.Millisecond, nil)).To(Succeed())
		sources := map[string]float64{}
		for _, a := range d.ModelAgents() {
			page := httptest.NewRecorder()
			a.Metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			Expect(page.Body.String()).To(ContainSubstring(`auburnbend_transfer_time_seconds_count{model="crest"} 1`))
			sum := 0.0
			for _, m := range transferred.FindAllStringSubmatch(page.Body.String(), -1) {
				n, err := strconv.ParseFloat(m[2], 64)
				Expect(err).NotTo(HaveOccurred())
				sum += n
				sources[m[1]] += n
			}
			Expect(sum).To(BeNumerically(">=", d.Options.ModelBytes))
		}
		AddReportEntry("bytes by source", sources)
		Expect(sources["origin"]).To(BeNumerically("<", 2*d.Options.ModelBytes))
		Expect(sources["peer"]).To(BeNumerically(">", 0))
	})
})
