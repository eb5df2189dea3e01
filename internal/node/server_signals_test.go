package node

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A draining server", func() {
	// sendToAll sends n requests to each entry and expects all to be answered.
	sendToAll := func(s *deployment, prefix string, n int) {
		for i := range n * len(s.entries) {
			Expect(s.send(i%len(s.entries), prefix, fmt.Sprint("request ", i)).Status).To(Equal(http.StatusOK))
		}
	}

	// sendBurst sends so many requests at the same time that each server gets some.
	sendBurst := func(s *deployment, prefix string) {
		var callers sync.WaitGroup
		for i := range 8 * len(s.entries) {
			callers.Add(1)
			go func() {
				defer callers.Done()
				defer GinkgoRecover()
				s.send(i%len(s.entries), prefix, fmt.Sprint("concurrent request ", i))
			}()
		}
		callers.Wait()
	}

	DescribeTable("gets no more requests once one entry of the region has received its signal, even without the store",
		// Guards against entries that keep sending requests to a server because they
		// cannot read its row during an outage of the store.
		func(subnet int, prefix string, server int) {
			s := newDeployment(subnet, 4, 4, 6)
			s.store.FailWith(http.StatusServiceUnavailable)
			id := s.backends[server].SignalDraining()
			Eventually(func() int {
				sendBurst(s, prefix)
				return len(s.eventsAt(id, eventDraining))
			}, 5*time.Second).Should(BeNumerically(">", 0))
			time.Sleep(100 * time.Millisecond)
			arrived := len(s.eventsAt(id, eventArrived))
			sendBurst(s, prefix)
			sendToAll(s, prefix, 20)
			Expect(s.eventsAt(id, eventArrived)).To(HaveLen(arrived))
		},
		Entry("plain service", 51, "/order/", 4),
		Entry("engine", 52, "/draft/", 0),
	)

	It("gets no more requests once it has told its agent, without the store", func() {
		// Guards against a drain that an engine states in status checks and that no entry learns.
		s := newDeployment(70, 4, 4, 4)
		s.store.FailWith(http.StatusServiceUnavailable)
		sendToAll(s, "/draft/", 2)
		id := s.backends[0].SignalDrainingToAgent()
		time.Sleep(time.Second)
		arrived := len(s.eventsAt(id, eventArrived))
		sendBurst(s, "/draft/")
		sendToAll(s, "/draft/", 10)
		Expect(s.eventsAt(id, eventArrived)).To(HaveLen(arrived))
		Expect(s.logs.String()).To(ContainSubstring("source=agent"))
	})

	It("gets no requests from a restarted entry, nor after the placing entry has changed", func() {
		// Guards against drain signals that are lost when the entry that received them
		// restarts.
		s := newDeployment(53, 4, 4, 4)
		id := s.backends[0].SignalDraining()
		Eventually(func() int {
			sendBurst(s, "/draft/")
			return len(s.eventsAt(id, eventDraining))
		}, 5*time.Second).Should(BeNumerically(">", 0))
		time.Sleep(100 * time.Millisecond)
		arrived := len(s.eventsAt(id, eventArrived))
		for i := range s.entries {
			s.restart(i)
			sendToAll(s, "/draft/", 4)
		}
		Expect(s.eventsAt(id, eventArrived)).To(HaveLen(arrived))
	})
})

var _ = Describe("Engines that respond with Retry-After", func() {
	It("get at most two more calls from their agents until it has passed, and requests of entries meanwhile", func() {
		// Guards against status checks in a pause, and against engines that are closed because of one.
		s := newDeployment(67, 2, 4, 2)
		time.Sleep(2 * stabilityTime)
		for _, b := range s.backends[:4] {
			b.RejectAgent(pauseTime, int(pauseTime.Seconds()))
		}
		asked := time.Now()
		for i := 0; time.Since(asked) < pauseTime; i++ {
			Expect(s.send(i%len(s.entries), "/draft/", fmt.Sprint("draft ", i)).Status).To(Equal(http.StatusOK))
		}
		for _, b := range s.backends[:4] {
			late := 0
			for _, at := range b.AgentCalls() {
				if at.After(asked.Add(pauseSlack)) && at.Before(asked.Add(pauseTime)) {
					late++
				}
			}
			Expect(late).To(BeNumerically("<=", maxDuringPause))
			Eventually(func() bool { return b.AgentCalls()[len(b.AgentCalls())-1].After(asked.Add(pauseTime)) }, 2*time.Second).Should(BeTrue())
		}
	})

	It("get at most two more requests from each entry until it has passed", func() {
		// Guards against a placing entry that sends the requests of another entry to an
		// engine which has asked that entry for a pause.
		s := newDeployment(54, 4, 4, 2)
		paused := s.backends[:3]
		var ids []string
		for _, b := range paused {
			b.RejectRequests(3*time.Second, 3)
			ids = append(ids, fmt.Sprintf("engine-%d-1", len(ids)))
		}
		start := time.Now()
		for i := 0; time.Since(start) < 2500*time.Millisecond; i++ {
			s.send(i%len(s.entries), "/draft/", fmt.Sprint("draft ", i))
		}
		for _, id := range ids {
			// Each of the four entries may get one such response, and two more of its
			// requests may be sent before that response arrives.
			Expect(len(s.eventsAt(id, eventArrived))).To(BeNumerically("<=", 3*len(s.entries)))
		}
	})
})
