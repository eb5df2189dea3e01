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

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// countLateRuns counts the runs of the poison request that began more than
// stabilityTime after it had crashed the third server.
func (s *deployment) countLateRuns() int {
	runs := s.runsOf(poisonBody)
	late := 0
	for i := range runs {
		if i >= 3 && runs[i].StartedAt.Sub(runs[2].StartedAt) > stabilityTime {
			late++
		}
	}
	return late
}

// expectFewRuns checks the number of runs of the poison request.
func (s *deployment) expectFewRuns() {
	runs := len(s.runsOf(poisonBody))
	AddReportEntry("servers crashed", runs)
	Expect(runs).To(BeNumerically(">=", 3))
	Expect(s.countLateRuns()).To(BeNumerically("<=", maxLateRuns), "%d servers crashed", runs)
}

// crashedRowExpiry is the time after a crash until the row of the server is removed.
const crashedRowExpiry = time.Second

// slowTime is the time that a response takes, or the time between two events of a stream,
// on servers that are to crash before their first responses, and crashAfter the time after
// which they do.
const (
	slowTime   = time.Second
	crashAfter = 200 * time.Millisecond
)

// slowDown makes servers respond slowly.
func slowDown(servers []*platformtest.Backend) {
	for _, b := range servers {
		b.SetWorkTime(slowTime)
	}
}

// crashAll crashes servers at once. They serve again after restartDelay, at the usual pace.
func crashAll(servers []*platformtest.Backend) {
	for _, b := range servers {
		b.Crash(crashedRowExpiry)
		b.SetWorkTime(workTime)
		time.AfterFunc(restartDelay, func() { _ = b.Start() })
	}
}

// maxLateRuns is the maximum number of late runs, as countLateRuns counts them.
const maxLateRuns = 3

// popularResponses is the number of responses through each entry after which a content is
// popular. It is more than the servers that may crash at once while they run it.
const popularResponses = 16

var _ = Describe("A request that crashes each server that runs it", func() {
	DescribeTable("is not sent to further servers once three have crashed",
		// Guards against a caller that crashes one server after the other by repeating
		// the request, at any entry.
		func(subnet int, prefix string) {
			s := newDeployment(subnet, 3, 4, 8)
			for i := range 16 {
				s.send(i%len(s.entries), prefix, poisonBody)
				time.Sleep(200 * time.Millisecond)
			}
			s.expectFewRuns()
		},
		Entry("idempotent", 41, "/status/"),
		Entry("not repeatable", 42, "/order/"),
		Entry("stream", 43, "/draft/"),
	)

	It("is not sent to further servers if callers send it to several entries at once", func() {
		s := newDeployment(44, 3, 2, 8)
		for range 8 {
			var callers sync.WaitGroup
			for i := range s.entries {
				callers.Add(1)
				go func() {
					defer callers.Done()
					s.send(i, "/status/", poisonBody)
				}()
			}
			callers.Wait()
			time.Sleep(400 * time.Millisecond)
		}
		s.expectFewRuns()
	})

	It("is not sent to further servers by restarted entries, whether one or all of them restart", func() {
		// Guards against quarantines that are lost when an entry restarts.
		s := newDeployment(45, 2, 2, 8)
		sendRepeatedly := func() {
			for i := range 4 {
				s.send(i%len(s.entries), "/status/", poisonBody)
				time.Sleep(200 * time.Millisecond)
			}
		}
		sendRepeatedly()
		s.restart(0)
		sendRepeatedly()
		before := len(s.runsOf(poisonBody))
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
		sendRepeatedly()
		Expect(s.runsOf(poisonBody)).To(HaveLen(before))
		s.expectFewRuns()
	})

	It("is refused immediately with a Retry-After", func() {
		s := newDeployment(46, 1, 2, 8)
		for range 4 {
			s.send(0, "/order/", poisonBody)
			time.Sleep(100 * time.Millisecond)
		}
		runs := len(s.runsOf(poisonBody))
		start := time.Now()
		resp := s.send(0, "/order/", poisonBody)
		Expect(resp.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.RetryAfter).To(BeNumerically(">", time.Minute))
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(s.runsOf(poisonBody)).To(HaveLen(runs))
		Expect(s.send(0, "/order/", "another order").Status).To(Equal(http.StatusOK))
	})

	DescribeTable("is distinguished from one that all servers were running as they crashed",
		// Guards against refusing a harmless request for minutes because it had no response before.
		func(subnet int, prefix string) {
			s := newDeployment(subnet, 3, 6, 8)
			slowDown(s.backends)
			const repeated = "harmless and repeated"
			var work sync.WaitGroup
			end := time.Now().Add(crashAfter + restartDelay + 2*stabilityTime)
			for i := range 24 {
				work.Go(func() {
					defer GinkgoRecover()
					for time.Now().Before(end) {
						s.send(i%len(s.entries), prefix, repeated)
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			time.Sleep(crashAfter)
			crashAll(s.backends)
			Eventually(s.logs.String, restartDelay).Should(ContainSubstring("event=7206"))
			work.Wait()
			for i := range s.entries {
				Expect(s.send(i, prefix, repeated).Status).To(Equal(http.StatusOK))
			}
		},
		Entry("not repeatable", 112, "/order/"),
		Entry("stream", 113, "/draft/"),
	)

	It("is distinguished from harmless requests that run on the same servers", func() {
		// Guards against refusing harmless requests because the servers that ran them
		// crashed for other reasons or through other requests.
		s := newDeployment(47, 2, 2, 8)
		// Content without a response is quarantined if three servers that run it crash.
		const popular = "harmless and popular"
		for range popularResponses {
			for i := range s.entries {
				Expect(s.send(i, "/status/", popular).Status).To(Equal(http.StatusOK))
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		var work sync.WaitGroup
		for i := range 24 {
			work.Add(1)
			go func() {
				defer work.Done()
				for n := 0; ctx.Err() == nil; n++ {
					// A third of the callers repeat the same content.
					content := fmt.Sprintf("harmless %d %d", i, n)
					if i%3 == 0 {
						content = popular
					}
					s.send(i%len(s.entries), "/status/", content)
				}
			}()
		}
		for n := 0; ctx.Err() == nil; n++ {
			for _, b := range s.backends[2+n%3 : 2+n%3+4] {
				b.Crash(crashedRowExpiry)
				time.AfterFunc(300*time.Millisecond, func() { _ = b.Start() })
			}
			s.send(n%len(s.entries), "/status/", poisonBody)
			time.Sleep(700 * time.Millisecond)
		}
		work.Wait()
		quarantines := regexp.MustCompile(`event=7206 .*content=(\w+)`).FindAllStringSubmatch(s.logs.String(), -1)
		contents := make(map[string]bool)
		for _, match := range quarantines {
			contents[match[1]] = true
		}
		Expect(len(contents)).To(BeNumerically("<=", 1), "%v", contents)
		Expect(s.logs.String()).To(ContainSubstring("event=7205"))
	})
})
