package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/admit"
)

var _ = Describe("Limiter", func() {
	It("keeps the limit between Min and Max and never exceeds it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := admit.NewLimiter(admit.LimiterConfig{Min: 2, Max: 20})
			now := start
			held := 0
			millis := rapid.Custom(func(t *rapid.T) time.Duration {
				return time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			})
			t.Repeat(map[string]func(*rapid.T){
				"": func(t *rapid.T) {
					if l.Limit() < 2 || l.Limit() > 20 || l.InFlight() != held {
						t.Fatalf("limit %d, in flight %d, want %d in flight", l.Limit(), l.InFlight(), held)
					}
				},
				"acquire": func(t *rapid.T) {
					free := held < l.Limit()
					if l.Acquire() != free {
						t.Fatalf("Acquire() = %v with %d of %d slots in use", !free, held, l.Limit())
					}
					if free {
						held++
					}
				},
				"release": func(*rapid.T) {
					if held > 0 {
						held--
						l.Release()
					}
				},
				"first":   func(t *rapid.T) { l.ObserveFirstToken(now, millis.Draw(t, "first")) },
				"between": func(t *rapid.T) { l.ObserveBetweenTokens(now, millis.Draw(t, "between")) },
				"refused": func(*rapid.T) { l.ObserveRefusal(now) },
				"wait":    func(t *rapid.T) { now = now.Add(millis.Draw(t, "wait")) },
			})
		})
	})

	It("converges to equal shares close to the target for two entries", func() {
		// Guards against starvation of an entry that joins late, and against a
		// limit that drifts past the target for the time between tokens.
		early := admit.NewLimiter(admit.LimiterConfig{Initial: 40})
		late := admit.NewLimiter(admit.LimiterConfig{Initial: 1})
		both := []*admit.Limiter{early, late}
		now := start
		var last time.Duration
		sums := make([]int, 2)
		for step := range 4000 {
			now = now.Add(100 * time.Millisecond)
			for _, l := range both {
				for l.Acquire() {
				}
				for l.InFlight() > l.Limit() {
					l.Release()
				}
			}
			// Model of an engine whose time between tokens grows with the batch size.
			last = 16*time.Millisecond + time.Duration(early.InFlight()+late.InFlight())*700*time.Microsecond
			for i, l := range both {
				l.ObserveBetweenTokens(now, last)
				if step >= 2000 {
					sums[i] += l.Limit()
				}
			}
		}
		Expect(last).To(BeNumerically("<", 53*time.Millisecond))
		Expect(last).To(BeNumerically(">", 40*time.Millisecond))
		Expect(float64(sums[0]) / float64(sums[1])).To(BeNumerically("~", 1, 0.35))
	})
})
