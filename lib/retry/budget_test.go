package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/retry"
)

var _ = Describe("Budget", func() {
	config := retry.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 80}
	start := time.Unix(1000, 0)

	It("limits the retries in any window to the entry's share", func() {
		// Guards against retry storms: the limit applies to the sum over all
		// entries.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const entries = 8
			b := retry.New(config, entries)
			now := start
			var requests, retries []time.Time
			for range rapid.IntRange(1, 400).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "request") {
					b.CountRequest("s", now)
					requests = append(requests, now)
				} else if b.Take("s", now) {
					retries = append(retries, now)
				}
				since := now.Add(-config.Window)
				bound := config.Ratio*float64(after(requests, since)) + config.Slack/entries
				if float64(after(retries, since.Add(config.Window/20))) > bound {
					t.Fatalf("%d retries in a window with a limit of %.1f", after(retries, since), bound)
				}
			}
		})
	})

	It("counts services separately and drops retries outside the window", func() {
		b := retry.New(config, 8)
		taken := 0
		for b.Take("s", start) {
			taken++
		}
		Expect(taken).To(Equal(8))
		Expect(b.Take("other", start)).To(BeTrue())
		Expect(b.Take("s", start.Add(9*time.Second))).To(BeFalse())
		Expect(b.Take("s", start.Add(11*time.Second))).To(BeTrue())
	})

	It("divides the slack by the number of entries", func() {
		b := retry.New(config, 1)
		Expect(b.Remaining("s", start)).To(BeNumerically("~", 64, 0.01))
		b.SetEntries(16)
		Expect(b.Remaining("s", start)).To(BeNumerically("~", 4, 0.01))
	})
})

func after(times []time.Time, since time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(since) {
			n++
		}
	}
	return n
}
