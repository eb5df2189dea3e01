package signals

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "signals")
}

var _ = Describe("Figures", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// outOfBounds returns the names of the figures that miss their bounds.
	outOfBounds := func(r *recorder) (names []string) {
		for _, f := range r.figures(time.Second) {
			if !f.WithinBound() {
				names = append(names, f.Name)
			}
		}
		return names
	}
	var r *recorder
	BeforeEach(func() {
		r = newRecorder()
		r.signals = []signal{{server: "a", entry: 1, at: at(0)}, {server: "a", entry: 1, at: at(900)}, {"b", 1, at(0), at(3000)}}
		r.recordResponse(platformtest.Response{Status: 200, Complete: true})
		r.recordResponse(platformtest.Response{Status: 503, RetryAfter: time.Second})
	})

	It("accept what the bounds allow, and what other entries do", func() {
		r.arrivals["a"] = []arrival{{1, at(900)}, {2, at(5000)}}
		r.arrivals["b"] = []arrival{{1, at(100)}, {1, at(400)}, {1, at(450)}, {1, at(2000)}, {1, at(2900)}, {2, at(2000)}, {1, at(3001)}, {1, at(3002)}}
		Expect(outOfBounds(r)).To(BeEmpty())
	})

	It("show a request after a drain", func() {
		r.arrivals["a"] = []arrival{{1, at(1001)}}
		Expect(outOfBounds(r)).To(ConsistOf("requests_after_drain", "last_request_after_drain"))
	})

	It("show a third request in a pause", func() {
		r.arrivals["b"] = []arrival{{1, at(600)}, {1, at(700)}, {1, at(2999)}}
		Expect(outOfBounds(r)).To(ConsistOf("requests_in_pause_max"))
	})

	It("show a refusal without a retry delay, and a run without signals", func() {
		r.signals = nil
		r.recordResponse(platformtest.Response{Status: 503})
		Expect(outOfBounds(r)).To(ConsistOf("drains_told", "pauses_told", "refusals_without_delay"))
	})
})
