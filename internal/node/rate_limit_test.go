package node

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// testRateLimit is what a limited server names, in requests per second.
	testRateLimit = 1.0
	// limitWindow is the period over which arrivals are counted. In each one, a server
	// may get maxLimitRatio times its limit and limitSlack requests.
	limitWindow   = 4 * time.Second
	maxLimitRatio = 1.5
	limitSlack    = 5
)

// limitLoad is a load on all entries at the same time.
type limitLoad struct {
	prefix   string
	duration time.Duration
	// interval is the time between two requests of a caller; each entry has two.
	interval time.Duration
}

// run sends the load and returns the responses.
func (l limitLoad) run(s *deployment) []platformtest.Response {
	var mu sync.Mutex
	var responses []platformtest.Response
	var callers sync.WaitGroup
	end := time.Now().Add(l.duration)
	for i := range 2 * len(s.entries) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			defer GinkgoRecover()
			for n := 0; time.Now().Before(end); n++ {
				response := s.send(i%len(s.entries), l.prefix, fmt.Sprint("caller ", i, " request ", n))
				mu.Lock()
				responses = append(responses, response)
				mu.Unlock()
				time.Sleep(l.interval)
			}
		}()
	}
	callers.Wait()
	return responses
}

// warmUp sends a load until engines have been open for long enough to serve the
// entries of all regions.
func (s *deployment) warmUp(l limitLoad) {
	l.duration = time.Second
	l.run(s)
}

// limitRates makes servers name a limit and returns their IDs.
func (s *deployment) limitRates(servers ...int) []string {
	var ids []string
	for _, server := range servers {
		ids = append(ids, s.backends[server].LimitRate(testRateLimit))
	}
	return ids
}

// expectRatesKept checks the arrivals at servers from stabilityTime after they first
// named their limit. At least one of them must have named it.
func (s *deployment) expectRatesKept(servers []string) {
	named := 0
	for _, server := range servers {
		if events := s.eventsAt(server, eventRateLimit); len(events) > 0 {
			named++
			s.expectRateKept(server, events[0].at.Add(stabilityTime))
		}
	}
	Expect(named).To(BeNumerically(">", 0))
}

func (s *deployment) expectRateKept(server string, from time.Time) {
	var window []time.Time
	most := 0
	for _, e := range s.eventsAt(server, eventArrived) {
		if e.at.Before(from) {
			continue
		}
		window = append(window, e.at)
		for e.at.Sub(window[0]) > limitWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	AddReportEntry("requests in a window", most)
	Expect(float64(most)).To(BeNumerically("<=", maxLimitRatio*testRateLimit*limitWindow.Seconds()+limitSlack), server)
}

// countStatus counts the responses with a status.
func countStatus(responses []platformtest.Response, status int) int {
	n := 0
	for _, r := range responses {
		if r.Status == status {
			n++
		}
	}
	return n
}

var _ = Describe("A server that names a rate limit", func() {
	DescribeTable("gets no more than that from all entries together, while other servers serve the rest",
		// Guards against entries that ignore the limit or keep to it one by one.
		func(subnet int, prefix string, servers ...int) {
			s := newDeployment(subnet, 4, 4, 4)
			load := limitLoad{prefix, 6 * time.Second, 60 * time.Millisecond}
			s.warmUp(load)
			ids := s.limitRates(servers...)
			responses := load.run(s)
			s.expectRatesKept(ids)
			Expect(countStatus(responses, http.StatusOK)).To(Equal(len(responses)))
		},
		Entry("engines of one region", 61, "/draft/", 0, 2),
		Entry("plain servers of one region", 62, "/status/", 4, 6),
		Entry("plain servers of two regions, requests that must not be repeated", 63, "/order/", 4, 5),
	)

	DescribeTable("has the rest refused at once with a Retry-After if no other server serves",
		// Guards against requests that wait for a limited server until their deadline.
		func(subnet int, prefix string, engines, plain, server int) {
			s := newDeployment(subnet, 4, engines, plain)
			load := limitLoad{prefix, 6 * time.Second, 200 * time.Millisecond}
			s.warmUp(load)
			ids := s.limitRates(server)
			responses := load.run(s)
			s.expectRatesKept(ids)
			// At least half of the limit is used.
			Expect(countStatus(responses, http.StatusOK)).To(BeNumerically(">=", 3))
			for _, r := range responses {
				if r.Status != http.StatusOK {
					Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
					Expect(r.RetryAfter).To(BeNumerically(">", 0))
				}
			}
		},
		Entry("engine", 64, "/draft/", 1, 1, 0),
		Entry("plain service", 65, "/status/", 2, 1, 2),
	)

	It("gets no more than that when entries restart and when the placing entry changes", func() {
		// Guards against entries that start without knowing the limit, and against two that
		// use the same share of it.
		s := newDeployment(66, 4, 4, 4)
		ids := s.limitRates(0, 2, 4, 6)
		var loads sync.WaitGroup
		for _, prefix := range []string{"/draft/", "/status/"} {
			loads.Add(1)
			go func() {
				defer loads.Done()
				limitLoad{prefix, 14 * time.Second, 100 * time.Millisecond}.run(s)
			}()
		}
		time.Sleep(2 * time.Second)
		// These are the two entries of one region.
		s.restart(0)
		s.restart(2)
		loads.Wait()
		s.expectRatesKept(ids)
	})
})
