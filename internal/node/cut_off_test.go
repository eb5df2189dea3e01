package node

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// pauseSlack is how long after a response with Retry-After requests may still arrive
	// that were sent before it, and maxDuringPause how many of an entry's requests may
	// arrive after that until the pause ends.
	pauseSlack     = 500 * time.Millisecond
	maxDuringPause = 2
	// drainBound is how long after an entry has passed on a server's drain its requests
	// may still arrive there.
	drainBound = time.Second
	pauseTime  = 3 * time.Second
)

// cutOffEntries stops all datagrams between entries, or with agents set, between
// entries and all others.
func (s *deployment) cutOffEntries(agents bool) {
	isEntry := func(a netip.Addr) bool { return a.As4()[2] == 4 }
	cut := func(a, b netip.Addr) bool { return isEntry(a) && (agents || isEntry(b)) }
	s.cut.Store(&cut)
}

// cutOffDomain stops all datagrams between one failure domain and the others.
func (s *deployment) cutOffDomain(domain int) {
	inDomain := func(a netip.Addr) bool { return (int(a.As4()[3])-1)%len(testDomains) == domain }
	cut := func(a, b netip.Addr) bool { return inDomain(a) != inDomain(b) }
	s.cut.Store(&cut)
}

// loadAll sends requests to all entries on connections that stay open, until the
// duration has passed.
func (s *deployment) loadAll(prefix string, duration time.Duration) {
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range 2 * len(s.entries) {
		callers.Go(func() {
			defer GinkgoRecover()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
			defer client.CloseIdleConnections()
			for n := 0; time.Now().Before(end); n++ {
				s.sendWith(client, i%len(s.entries), prefix, fmt.Sprint("kept connection ", i, " request ", n))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
}

// busiest returns the backend server among the given ones at which most requests have
// arrived. An entry may prefer one server of several equal ones for seconds, so that a fixed
// server may get no request at all.
func (s *deployment) busiest(servers []int) *platformtest.Backend {
	arrivals := func(b *platformtest.Backend) int { return len(s.eventsAt(b.CurrentID(), eventArrived)) }
	best := s.backends[servers[0]]
	for _, i := range servers[1:] {
		if b := s.backends[i]; arrivals(b) > arrivals(best) {
			best = b
		}
	}
	return best
}

// entryOf returns the entry to which an attempt was sent.
func (s *deployment) entryOf(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentTo[attempt]
}

// expectPauseKept checks the pauses that a server has asked entries for. It returns
// their number.
func (s *deployment) expectPauseKept(server string) int {
	pauses := s.eventsAt(server, eventRetryAfter)
	for _, pause := range pauses {
		arrived := 0
		for _, e := range s.eventsAt(server, eventArrived) {
			if s.entryOf(e.attempt) == s.entryOf(pause.attempt) && e.at.After(pause.at.Add(pauseSlack)) && e.at.Before(pause.at.Add(pauseTime)) {
				arrived++
			}
		}
		Expect(arrived).To(BeNumerically("<=", maxDuringPause), "requests at %s in a pause that entry %d knows", server, s.entryOf(pause.attempt))
	}
	return len(pauses)
}

// expectDrainKept checks that each entry which has passed on the drain of a server sends
// nothing there later than drainBound. It returns the number of these entries.
func (s *deployment) expectDrainKept(server string) int {
	passedOn := make(map[int]time.Time)
	for _, e := range s.eventsAt(server, eventDraining) {
		entry := s.entryOf(e.attempt)
		if _, known := passedOn[entry]; !known {
			passedOn[entry] = e.at
		}
	}
	for _, e := range s.eventsAt(server, eventArrived) {
		if at, known := passedOn[s.entryOf(e.attempt)]; known {
			Expect(e.at).To(BeTemporally("<=", at.Add(drainBound)), "a request at %s, whose drain entry %d knows", server, s.entryOf(e.attempt))
		}
	}
	return len(passedOn)
}

var _ = Describe("Entries of a region that are cut off from each other", func() {
	DescribeTable("keep to the pause that a server asks each of them for",
		// Guards against pauses that hold only while a placing entry can be asked.
		func(subnet int, prefix string, paused []int, cut func(*deployment)) {
			s := newDeployment(subnet, 6, 4, 4)
			s.loadAll(prefix, time.Second)
			cut(s)
			var ids []string
			for _, i := range paused {
				ids = append(ids, s.backends[i].CurrentID())
				s.backends[i].RejectRequests(pauseTime, int(pauseTime.Seconds()))
			}
			s.loadAll(prefix, pauseTime)
			pauses := 0
			for _, id := range ids {
				pauses += s.expectPauseKept(id)
			}
			AddReportEntry("pauses", pauses)
			Expect(pauses).To(BeNumerically(">", 0))
		},
		Entry("engines", 55, "/draft/", []int{0, 1, 2}, func(s *deployment) { s.cutOffEntries(false) }),
		Entry("all plain servers, agents out of reach as well", 57, "/order/", []int{4, 5, 6, 7}, func(s *deployment) { s.cutOffEntries(true) }),
		Entry("engines, a failure domain is cut off", 58, "/draft/", []int{0, 1}, func(s *deployment) { s.cutOffDomain(0) }),
	)

	DescribeTable("send nothing more to a server once they have passed on that it drains, also without the store, and learn it from each other later",
		// Guards against drains that are known only through another entry, and against an
		// entry that was cut off and never learns them.
		func(subnet int, prefix string, servers []int, cut func(*deployment)) {
			s := newDeployment(subnet, 6, 4, 4)
			s.loadAll(prefix, time.Second)
			cut(s)
			s.store.FailWith(http.StatusServiceUnavailable)
			id := s.busiest(servers).SignalDraining()
			s.loadAll(prefix, 2*drainBound)
			entries := s.expectDrainKept(id)
			AddReportEntry("entries that passed it on", entries)
			Expect(entries).To(BeNumerically(">", 0))
			s.cut.Store(nil)
			// Drains are repeated once a second.
			time.Sleep(3 * time.Second)
			arrived := len(s.eventsAt(id, eventArrived))
			s.loadAll(prefix, drainBound)
			Expect(s.eventsAt(id, eventArrived)).To(HaveLen(arrived))
		},
		Entry("engine", 60, "/draft/", []int{0, 2}, func(s *deployment) { s.cutOffEntries(false) }),
		Entry("plain server, agents out of reach as well", 68, "/order/", []int{4, 6}, func(s *deployment) { s.cutOffEntries(true) }),
		Entry("plain server, a failure domain is cut off", 69, "/order/", []int{4, 6}, func(s *deployment) { s.cutOffDomain(0) }),
	)

	DescribeTable("keep to a server's rate limit together",
		// Guards against entries that each use the whole limit because no other entry
		// answers.
		func(subnet int, agents bool) {
			s := newDeployment(subnet, 6, 4, 4)
			load := limitLoad{"/status/", 8 * time.Second, 60 * time.Millisecond}
			s.warmUp(load)
			ids := s.limitRates(4, 5)
			s.cutOffEntries(agents)
			responses := load.run(s)
			s.expectRatesKept(ids)
			Expect(countStatus(responses, http.StatusOK)).To(Equal(len(responses)))
		},
		Entry("agents in reach", 87, false),
		Entry("agents out of reach as well", 88, true),
	)
})
