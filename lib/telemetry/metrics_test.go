package telemetry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/telemetry"
)

func testConfig() *config.Config {
	return &config.Config{
		Tenants: []config.Tenant{{Name: "hauliers"}},
		Classes: []config.Class{{Name: "interactive"}},
		Models:  []config.Model{{Name: "drafter"}},
	}
}

var _ = Describe("Metrics", func() {
	ctx := context.Background()

	It("serves recorded values in the Prometheus text format", func() {
		m, err := telemetry.New(telemetry.Config{})
		Expect(err).NotTo(HaveOccurred())
		m.DeclareLabels(testConfig())
		r := m.ForRequest("hauliers", "interactive")
		r.RecordQueueTime(3 * time.Millisecond)
		r.RecordFirstToken(900 * time.Millisecond)
		r.RecordBetweenTokens(40 * time.Millisecond)
		r.RecordTotalTime(2 * time.Second)
		r.CountOutcome(outcome.Completed, outcome.ReasonNone)
		r.CountOutcome(outcome.NotRun, outcome.ReasonDeadline)
		r.CountOutcome(outcome.NotRun, "invented by a peer")
		m.RecordTransfer("drafter", 80*time.Second)
		m.AddTransferBytes("drafter", telemetry.SourcePeer, 4096)
		m.CountInvalidInput(telemetry.InputFrame)
		e, err := m.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.Get("http://" + e.Address() + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(e.Close(ctx)).To(Succeed())
		for _, line := range []string{
			`auburnbend_request_first_token_seconds_bucket{class="interactive",tenant="hauliers",le="1.4"} 1`,
			`auburnbend_request_first_token_seconds_bucket{class="interactive",tenant="hauliers",le="0.75"} 0`,
			`auburnbend_request_between_tokens_seconds_bucket{class="interactive",tenant="hauliers",le="0.053"} 1`,
			`auburnbend_request_queue_time_seconds_count{class="interactive",tenant="hauliers"} 1`,
			`auburnbend_request_total_time_seconds_sum{class="interactive",tenant="hauliers"} 2`,
			`auburnbend_request_outcomes_total{class="interactive",outcome="not_run",reason="deadline_exceeded",tenant="hauliers"} 1`,
			`auburnbend_request_outcomes_total{class="interactive",outcome="not_run",reason="other",tenant="hauliers"} 1`,
			`auburnbend_transfer_time_seconds_count{model="drafter"} 1`,
			`auburnbend_transfer_bytes_total{model="drafter",source="peer"} 4096`,
			`auburnbend_input_invalid_total{input="frame"} 1`,
		} {
			Expect(string(text)).To(ContainSubstring(line))
		}
	})

	It("exposes what is held for others", func() {
		// Guards against refusals for lack of memory that operators do not see.
		m, err := telemetry.New(telemetry.Config{})
		Expect(err).NotTo(HaveOccurred())
		b := memory.NewBudget(10, 5)
		Expect(m.ObserveMemory(map[string]*memory.Budget{"request": b})).To(Succeed())
		_, err = b.Acquire(context.Background(), "a", 5)
		Expect(err).NotTo(HaveOccurred())
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = b.Acquire(ended, "a", 1)
		Expect(err).To(HaveOccurred())
		rec := &responseRecorder{}
		m.Handler().ServeHTTP(rec, &http.Request{Method: http.MethodGet})
		for _, line := range []string{
			`auburnbend_memory_held_bytes{kind="request"} 5`,
			`auburnbend_memory_delays_total{kind="request"} 1`,
			`auburnbend_memory_refusals_total{kind="request"} 1`,
		} {
			Expect(rec.String()).To(ContainSubstring(line))
		}
	})

	// Guards against callers growing the memory of an entry by sending arbitrary
	// tenant names.
	It("counts undeclared names under other", func() {
		m, err := telemetry.New(telemetry.Config{MaxLabelNames: 1})
		Expect(err).NotTo(HaveOccurred())
		m.DeclareLabels(testConfig())
		m.DeclareLabels(&config.Config{Tenants: []config.Tenant{{Name: "one-too-many"}}})
		for i := range 1000 {
			m.ForRequest(model.Tenant(fmt.Sprint("t", i)), "x").RecordQueueTime(time.Millisecond)
		}
		m.ForRequest("one-too-many", "x").RecordQueueTime(time.Millisecond)
		rec := &responseRecorder{}
		m.Handler().ServeHTTP(rec, &http.Request{Method: http.MethodGet})
		Expect(strings.Count(rec.String(), "auburnbend_request_queue_time_seconds_count")).To(Equal(1))
		Expect(rec.String()).To(ContainSubstring(`auburnbend_request_queue_time_seconds_count{class="other",tenant="other"} 1001`))
	})
})

// responseRecorder is an http.ResponseWriter that stores the body in memory.
type responseRecorder struct{ strings.Builder }

func (*responseRecorder) Header() http.Header { return http.Header{} }
func (*responseRecorder) WriteHeader(int)     {}

// BenchmarkRecord measures the cost of recording one token, one outcome and one
// lookup.
func BenchmarkRecord(b *testing.B) {
	m, err := telemetry.New(telemetry.Config{})
	if err != nil {
		b.Fatal(err)
	}
	m.DeclareLabels(testConfig())
	r := m.ForRequest("hauliers", "interactive")
	b.Run("between tokens", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.RecordBetweenTokens(40 * time.Millisecond)
		}
	})
	b.Run("outcome", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.CountOutcome(outcome.NotRun, outcome.ReasonDeadline)
		}
	})
	b.Run("lookup", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.ForRequest("hauliers", "interactive")
		}
	})
}
