package node

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// regionOf returns the region of a server of a deployment from its ID: kind, number and
// start.
func regionOf(server string) string {
	parts := strings.Split(server, "-")
	number, err := strconv.Atoi(parts[1])
	Expect(err).NotTo(HaveOccurred())
	return testRegions[testDomains[number%len(testDomains)]]
}

// allow restricts the test routes and the team to regions, and waits until all entries
// have the new configuration.
func (s *deployment) allow(routeRegions, teamRegions []string) {
	config := s.liveConfig(2)
	config.Routes = slices.Clone(testRoutes)
	for i := range config.Routes {
		config.Routes[i].AllowedRegions = routeRegions
	}
	config.Routes = append(config.Routes, platformtest.Route{Host: testHost, Prefix: "/new/", Kind: "idempotent", Service: "desk", TimeoutMS: 3000, TargetMS: 500, MaxServers: 2})
	config.TeamRegions = teamRegions
	s.store.PutLiveConfig(config)
	for i := range s.entries {
		Eventually(func() int { return s.send(i, "/new/", "new route").Status }, 5*time.Second).ShouldNot(Equal(http.StatusNotFound))
	}
}

// sendAll sends requests of each kind to each entry, all kinds and entries at the same
// time, and returns the responses.
func (s *deployment) sendAll(content string, rounds int) []platformtest.Response {
	var mu sync.Mutex
	var responses []platformtest.Response
	var callers sync.WaitGroup
	for i := range s.entries {
		for _, route := range testRoutes {
			callers.Add(1)
			go func() {
				defer callers.Done()
				defer GinkgoRecover()
				for range rounds {
					response := s.send(i, route.Prefix, content)
					mu.Lock()
					responses = append(responses, response)
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
			}()
		}
	}
	callers.Wait()
	return responses
}

// regionsOf counts the runs of requests with the given body by region of the server.
func (s *deployment) regionsOf(content string) map[string]int {
	counts := make(map[string]int)
	for _, run := range s.runsOf(content) {
		counts[regionOf(run.Server)]++
	}
	return counts
}

var _ = Describe("Requests that only some regions may serve", func() {
	DescribeTable("reach only servers of these regions, from entries of all regions",
		// Guards against requests that leave the regions which their route or team allows:
		// through the placing entry, an entry's own choice, or because the entry that the
		// caller connected to is in another region.
		func(subnet int, routeRegions, teamRegions []string) {
			s := newDeployment(subnet, 4, 4, 4)
			s.warmUp(limitLoad{"/draft/", time.Second, 50 * time.Millisecond})
			s.allow(routeRegions, teamRegions)
			responses := s.sendAll("for s", 20)
			Expect(s.regionsOf("for s")).To(And(HaveLen(1), HaveKey("s")))
			Expect(countStatus(responses, http.StatusOK)).To(Equal(len(responses)))
		},
		Entry("regions of the route", 71, []string{"s"}, nil),
		Entry("regions of the team", 72, nil, []string{"s"}),
		Entry("regions of both, of which one is common", 73, []string{"n", "s"}, []string{"s", "elsewhere"}),
	)

	DescribeTable("are refused at once if no server of these regions exists",
		// Guards against requests that wait, or that another region serves after all.
		func(subnet int, routeRegions, teamRegions []string) {
			s := newDeployment(subnet, 2, 2, 2)
			s.allow(routeRegions, teamRegions)
			start := time.Now()
			for i := range s.entries {
				for _, route := range testRoutes {
					response := s.send(i, route.Prefix, "for none")
					Expect(response.Status).To(Equal(http.StatusServiceUnavailable))
					Expect(response.RetryAfter).To(BeNumerically(">", 0))
				}
			}
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
			Expect(s.runsOf("for none")).To(BeEmpty())
			Expect(s.logs.String()).To(ContainSubstring("reason=no_home"))
		},
		Entry("because no region is common to both lists", 74, []string{"n"}, []string{"s"}),
		Entry("because the region is unknown", 75, []string{"elsewhere"}, nil),
	)

	It("are retried and continued only there", func() {
		// Guards against a second attempt, or the rest of a stream, in another region after
		// the first server has failed.
		s := newDeployment(76, 2, 4, 4)
		s.warmUp(limitLoad{"/draft/", time.Second, 50 * time.Millisecond})
		s.allow([]string{"s"}, nil)
		// An engine and two plain servers of the region s.
		engine, desks := s.backends[3], []*platformtest.Backend{s.backends[5], s.backends[7]}
		stop := make(chan struct{})
		var crashes sync.WaitGroup
		crashes.Add(1)
		go func() {
			defer crashes.Done()
			defer GinkgoRecover()
			engine.Crash(100 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					desks[n%2].Crash(0)
					time.Sleep(50 * time.Millisecond)
					Expect(desks[n%2].Start()).To(Succeed())
				}
			}
		}()
		s.sendAll("with crashes", 60)
		close(stop)
		crashes.Wait()
		Expect(s.regionsOf("with crashes")).To(And(HaveLen(1), HaveKey("s")))
	})

	It("stay there while the placing entries stop and start", func() {
		// Guards against entries that place by themselves, without the regions, while no
		// placing entry answers.
		s := newDeployment(77, 4, 4, 4)
		s.warmUp(limitLoad{"/draft/", time.Second, 50 * time.Millisecond})
		s.allow([]string{"s"}, nil)
		var load sync.WaitGroup
		load.Add(1)
		go func() {
			defer load.Done()
			defer GinkgoRecover()
			s.sendAll("with restarts", 200)
		}()
		for _, i := range []int{0, 1} {
			s.entries[i].stop()
			Eventually(s.entries[i].done, 8*time.Second).Should(BeClosed())
			s.entries[i] = s.startEntry(i)
		}
		load.Wait()
		Expect(s.regionsOf("with restarts")).To(And(HaveLen(1), HaveKey("s")))
	})
})
