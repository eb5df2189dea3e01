package node

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lateRuns counts the runs of the poison that began later than siteStall after it
// had ended the third server.
func (s *site) lateRuns() int {
	runs := s.ran(sitePoison)
	late := 0
	for i := range runs {
		if i >= 3 && runs[i].At.Sub(runs[2].At) > siteStall {
			late++
		}
	}
	return late
}

// allowedLateRuns is what the deployment demands.
const allowedLateRuns = 3

var _ = Describe("A request that ends every server which runs it", func() {
	DescribeTable("is not sent to further servers once three have ended",
		// Guards against a caller that ends server after server by asking again, at any
		// entry.
		func(network int, prefix string) {
			s := newSite(network, 3, 4, 8)
			for i := range 16 {
				s.ask(i%len(s.entries), prefix, sitePoison)
				time.Sleep(200 * time.Millisecond)
			}
			Expect(len(s.ran(sitePoison))).To(BeNumerically(">=", 3))
			Expect(s.lateRuns()).To(BeNumerically("<=", allowedLateRuns), "%d servers ended", len(s.ran(sitePoison)))
		},
		Entry("idempotent", 41, "/status/"),
		Entry("not repeatable", 42, "/order/"),
		Entry("stream", 43, "/draft/"),
	)

	It("is not sent to further servers by callers who ask several entries at once", func() {
		s := newSite(44, 3, 2, 8)
		for range 8 {
			var callers sync.WaitGroup
			for i := range s.entries {
				callers.Add(1)
				go func() {
					defer callers.Done()
					s.ask(i, "/status/", sitePoison)
				}()
			}
			callers.Wait()
			time.Sleep(400 * time.Millisecond)
		}
		Expect(s.lateRuns()).To(BeNumerically("<=", allowedLateRuns), "%d servers ended", len(s.ran(sitePoison)))
	})
})
