package node

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A server that leaves", func() {
	// askAll sends n requests of a kind to each entry and expects all to be served.
	askAll := func(s *site, prefix string, n int) {
		for i := range n * len(s.entries) {
			Expect(s.ask(i%len(s.entries), prefix, fmt.Sprint("request ", i)).Status).To(Equal(http.StatusOK))
		}
	}

	// spread sends so many requests of a kind at the same time that all servers get
	// some.
	spread := func(s *site, prefix string) {
		var callers sync.WaitGroup
		for i := range 8 * len(s.entries) {
			callers.Add(1)
			go func() {
				defer callers.Done()
				defer GinkgoRecover()
				s.ask(i%len(s.entries), prefix, fmt.Sprint("request at once ", i))
			}()
		}
		callers.Wait()
	}

	DescribeTable("gets nothing more once one entry of a region knows, while the store is away",
		// Guards against entries that go on sending to a server whose row they cannot read.
		func(network int, prefix string, server int) {
			s := newSite(network, 4, 4, 6)
			s.store.FailWith(http.StatusServiceUnavailable)
			id := s.backends[server].SignalDraining()
			Eventually(func() int {
				spread(s, prefix)
				return len(s.eventsOf(id, eventLeaving))
			}, 5*time.Second).Should(BeNumerically(">", 0))
			time.Sleep(100 * time.Millisecond)
			told := len(s.eventsOf(id, eventArrived))
			spread(s, prefix)
			askAll(s, prefix, 20)
			Expect(s.eventsOf(id, eventArrived)).To(HaveLen(told))
		},
		Entry("plain service", 51, "/order/", 4),
		Entry("engine", 52, "/draft/", 0),
	)

	It("gets nothing from an entry that starts anew, nor after the placing entry has changed", func() {
		// Guards against knowledge that ends with the process that has it.
		s := newSite(53, 4, 4, 4)
		id := s.backends[0].SignalDraining()
		Eventually(func() int {
			spread(s, "/draft/")
			return len(s.eventsOf(id, eventLeaving))
		}, 5*time.Second).Should(BeNumerically(">", 0))
		time.Sleep(100 * time.Millisecond)
		told := len(s.eventsOf(id, eventArrived))
		for i := range s.entries {
			s.restart(i)
			askAll(s, "/draft/", 4)
		}
		Expect(s.eventsOf(id, eventArrived)).To(HaveLen(told))
	})
})

var _ = Describe("Engines that ask for a pause", func() {
	It("get at most two requests of an entry until its end, whoever places them", func() {
		// Guards against an entry that places requests of others at an engine which wants
		// nothing from these.
		s := newSite(54, 4, 4, 2)
		paused := s.backends[:3]
		var ids []string
		for _, b := range paused {
			b.RejectRequests(3*time.Second, 3)
			ids = append(ids, fmt.Sprintf("engine-%d-1", len(ids)))
		}
		start := time.Now()
		for i := 0; time.Since(start) < 2500*time.Millisecond; i++ {
			s.ask(i%len(s.entries), "/draft/", fmt.Sprint("draft ", i))
		}
		for _, id := range ids {
			// Four entries may each be told once, and two more requests may cross each answer.
			Expect(len(s.eventsOf(id, eventArrived))).To(BeNumerically("<=", 3*len(s.entries)))
		}
	})
})
