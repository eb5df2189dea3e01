package node

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
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
		if i >= 3 && runs[i].StartedAt.Sub(runs[2].StartedAt) > siteStall {
			late++
		}
	}
	return late
}

// expectFewEnds holds the runs of the poison against what the deployment demands.
func (s *site) expectFewEnds() {
	runs := len(s.ran(sitePoison))
	AddReportEntry("servers ended", runs)
	Expect(runs).To(BeNumerically(">=", 3))
	Expect(s.lateRuns()).To(BeNumerically("<=", allowedLateRuns), "%d servers ended", runs)
}

// crashLapse is when the row of a crashed server goes.
const crashLapse = time.Second

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
			s.expectFewEnds()
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
		s.expectFewEnds()
	})

	It("is not sent on by entries that start anew, at the same time or one by one", func() {
		// Guards against knowledge that ends with the process that has it.
		s := newSite(45, 2, 2, 8)
		askAll := func() {
			for i := range 4 {
				s.ask(i%len(s.entries), "/status/", sitePoison)
				time.Sleep(200 * time.Millisecond)
			}
		}
		askAll()
		s.restart(0)
		askAll()
		before := len(s.ran(sitePoison))
		var restarts sync.WaitGroup
		for i := range s.entries {
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				defer GinkgoRecover()
				s.restart(i)
			}()
		}
		restarts.Wait()
		askAll()
		Expect(s.ran(sitePoison)).To(HaveLen(before))
		s.expectFewEnds()
	})

	It("is turned away at once as not run, and its caller told when to come back", func() {
		s := newSite(46, 1, 2, 8)
		for range 4 {
			s.ask(0, "/order/", sitePoison)
			time.Sleep(100 * time.Millisecond)
		}
		runs := len(s.ran(sitePoison))
		start := time.Now()
		a := s.ask(0, "/order/", sitePoison)
		Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.RetryAfter).To(BeNumerically(">", time.Minute))
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(s.ran(sitePoison)).To(HaveLen(runs))
		Expect(s.ask(0, "/order/", "another order").Status).To(Equal(http.StatusOK))
	})

	It("is told from sound requests that servers take with them", func() {
		// Guards against sound requests that are refused because the servers which ran
		// them crashed or were ended by others.
		s := newSite(47, 2, 2, 8)
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		var work sync.WaitGroup
		for i := range 24 {
			work.Add(1)
			go func() {
				defer work.Done()
				for n := 0; ctx.Err() == nil; n++ {
					// A third of the callers ask for the same thing again and again.
					content := fmt.Sprintf("sound %d %d", i, n)
					if i%3 == 0 {
						content = "sound and popular"
					}
					s.ask(i%len(s.entries), "/status/", content)
				}
			}()
		}
		for n := 0; ctx.Err() == nil; n++ {
			for _, b := range s.backends[2+n%3 : 2+n%3+4] {
				b.Crash(crashLapse)
				time.AfterFunc(300*time.Millisecond, func() { _ = b.Start() })
			}
			s.ask(n%len(s.entries), "/status/", sitePoison)
			time.Sleep(700 * time.Millisecond)
		}
		work.Wait()
		poison := regexp.MustCompile(`event=7206 .*content=(\w+)`).FindAllStringSubmatch(s.logs.String(), -1)
		contents := make(map[string]bool)
		for _, match := range poison {
			contents[match[1]] = true
		}
		Expect(len(contents)).To(BeNumerically("<=", 1), "%v", contents)
		Expect(s.logs.String()).To(ContainSubstring("event=7205"))
	})
})
