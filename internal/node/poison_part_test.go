package node

import (
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// poisonInterval is the time between two poison requests of a caller, soundInterval
	// that between two sound ones.
	poisonInterval = 200 * time.Millisecond
	soundInterval  = 20 * time.Millisecond
)

var _ = Describe("A part of prompts that crashes each server that answers it", func() {
	DescribeTable("is not sent to further servers by one caller",
		// Guards against a part that crashes one server after the other because no two requests
		// with it are alike.
		func(subnet int, prefix string) {
			l := &promptLoad{deployment: newDeployment(subnet, 3, 6, 8), prefix: prefix}
			l.sendInTurn(30, poisonInterval)
			l.expectFewLateArrivals()
		},
		Entry("idempotent", 92, "/status/"),
		Entry("not repeatable", 93, "/order/"),
		Entry("stream", 94, "/draft/"),
	)

	DescribeTable("is not sent to further servers by callers at all entries at once",
		// Guards against entries that each let some requests with the part through.
		func(subnet int, prefix string) {
			l := &promptLoad{deployment: newDeployment(subnet, 3, 6, 8), prefix: prefix}
			stop := l.start(poisonParts, poisonInterval)
			time.Sleep(6 * time.Second)
			stop()
			l.expectFewLateArrivals()
		},
		Entry("idempotent", 95, "/status/"),
		Entry("stream", 96, "/draft/"),
	)

	DescribeTable("is distinguished from the parts of sound requests that were answered before",
		// Guards against refusing sound requests for a part that they share with the crashes.
		func(subnet int, prefix string) {
			l := &promptLoad{deployment: newDeployment(subnet, 3, 6, 8), prefix: prefix}
			stopSound := l.start(soundParts, soundInterval)
			time.Sleep(time.Second)
			stopPoison := l.start(poisonParts, poisonInterval)
			l.awaitJudged()
			stopPoison()
			stopSound()
			l.expectSoundAnswered()
			l.expectFewLateArrivals()
		},
		Entry("idempotent", 97, "/status/"),
		Entry("stream", 98, "/draft/"),
	)

	DescribeTable("is distinguished from parts that were never answered before the first crash",
		// Guards against refusing new sound parts for good, as nothing can be answered then.
		func(subnet int, prefix string) {
			l := &promptLoad{deployment: newDeployment(subnet, 3, 6, 8), prefix: prefix}
			stopPoison := l.start(poisonParts, poisonInterval)
			Eventually(l.crashes, 5*time.Second, time.Millisecond).ShouldNot(BeEmpty())
			stopSound := l.start(soundParts, soundInterval)
			l.awaitJudged()
			stopPoison()
			stopSound()
			l.expectSoundAnswered()
			l.expectFewLateArrivals()
		},
		Entry("idempotent", 99, "/status/"),
		Entry("stream", 100, "/draft/"),
	)

	DescribeTable("is distinguished from a part that sound requests have only after the crashes",
		// Guards against a part that stays refused because only refused requests have it.
		func(subnet int, prefix string) {
			l := &promptLoad{deployment: newDeployment(subnet, 3, 6, 8), prefix: prefix}
			stopSound := l.start(frequentParts, soundInterval)
			time.Sleep(time.Second)
			stopPoison := l.start(poisonParts, poisonInterval)
			l.awaitJudged()
			stopSound()
			stopSound = l.start(soundParts, soundInterval)
			l.awaitJudged()
			stopPoison()
			stopSound()
			l.expectSoundAnswered()
			l.expectFewLateArrivals()
		},
		Entry("idempotent", 104, "/status/"),
		Entry("stream", 105, "/draft/"),
	)

	It("is not sent to further servers by restarted entries, whether one or all of them restart", func() {
		// Guards against knowledge of parts that is lost when entries restart.
		l := &promptLoad{deployment: newDeployment(101, 3, 6, 8), prefix: "/status/"}
		s := l.deployment
		stopSound := l.start(soundParts, soundInterval)
		l.sendInTurn(12, poisonInterval)
		stopSound()
		s.restart(0)
		l.sendInTurn(6, poisonInterval)
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
		stopSound = l.start(soundParts, soundInterval)
		stopPoison := l.start(poisonParts, poisonInterval)
		l.awaitJudged()
		stopPoison()
		stopSound()
		l.expectFewLateArrivals()
		l.expectSoundAnswered()
	})
})

var _ = Describe("A trial of a part that crashes each server that answers it", func() {
	DescribeTable("comes seldom, with callers at all entries at once",
		// Guards against servers that are lost to the trials of each entry.
		func(subnet int, prefix string, cutOff bool) {
			l := &promptLoad{deployment: newDeployment(subnet, 3, 6, 8), prefix: prefix}
			stop := l.start(poisonParts, poisonInterval)
			time.Sleep(2 * time.Second)
			if cutOff {
				l.deployment.cutOffEntries(true)
			}
			Eventually(func() int { return strings.Count(l.deployment.logs.String(), "event=7221") }, 13*time.Second).ShouldNot(BeZero())
			time.Sleep(2 * time.Second)
			stop()
			l.expectFewLateArrivals()
		},
		Entry("idempotent", 108, "/status/", false),
		Entry("stream, at entries that hear nothing of each other", 109, "/draft/", true),
	)
})

var _ = Describe("The parts of requests that run as all servers crash at once", func() {
	DescribeTable("are not refused for long if none was answered before",
		// Guards against a part that stays refused because all requests with it are refused.
		func(subnet int, prefix string, cutOff bool) {
			l := &promptLoad{deployment: newDeployment(subnet, 3, 6, 8), prefix: prefix}
			s := l.deployment
			slowDown(s.backends)
			var stops []func()
			for range 8 {
				stops = append(stops, l.start(soundParts, soundInterval))
			}
			time.Sleep(crashAfter)
			crashAll(s.backends)
			Eventually(s.logs.String, restartDelay).Should(ContainSubstring("event=7213"))
			if cutOff {
				s.cutOffEntries(false)
			}
			time.Sleep(restartDelay + 2*stabilityTime)
			for _, stop := range stops {
				stop()
			}
			afterwards := time.Now()
			stop := l.start(soundParts, soundInterval)
			time.Sleep(3 * time.Second)
			stop()
			l.expectAnswered(l.matching(func(r *promptRequest) bool { return r.sentAt.After(afterwards) }))
		},
		Entry("stream", 110, "/draft/", false),
		Entry("idempotent, at entries that hear nothing of each other", 111, "/status/", true),
	)

	DescribeTable("are not refused afterwards",
		// Guards against parts that are blamed for crashes with another cause.
		func(subnet int, prefix string) {
			l := &promptLoad{deployment: newDeployment(subnet, 3, 6, 8), prefix: prefix}
			s := l.deployment
			var stops []func()
			for range 8 {
				stops = append(stops, l.start(soundParts, 0))
			}
			time.Sleep(time.Second)
			for _, b := range s.backends {
				go func() {
					b.CrashBusy(crashedRowExpiry, restartDelay/2)
					time.AfterFunc(restartDelay, func() { _ = b.Start() })
				}()
			}
			time.Sleep(2 * stabilityTime)
			for _, stop := range stops {
				stop()
			}
			noticed := strings.Count(s.logs.String(), "event=7205")
			AddReportEntry("crashes noticed by entries", noticed)
			Expect(noticed).To(BeNumerically(">=", partCrashes))
			afterwards := time.Now()
			stop := l.start(soundParts, soundInterval)
			time.Sleep(3 * time.Second)
			stop()
			l.expectAnswered(l.matching(func(r *promptRequest) bool { return r.sentAt.After(afterwards) }))
		},
		Entry("idempotent", 102, "/status/"),
		Entry("stream", 103, "/draft/"),
	)
})
