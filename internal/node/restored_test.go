package node

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// configTime is the time within which a configuration must be in force in a deployment
// under test.
const configTime = 2 * time.Second

// arrivalsAt counts the requests that arrived at a server after a time.
func (s *deployment) arrivalsAt(server string, from time.Time) int {
	n := 0
	for _, e := range s.eventsAt(server, eventArrived) {
		if e.at.After(from) {
			n++
		}
	}
	return n
}

// putRoutes writes a configuration with one route more for each version.
func (s *deployment) putRoutes(version int) {
	c := s.liveConfig(version)
	for v := 2; v <= version; v++ {
		r := testRoutes[0]
		r.Prefix = fmt.Sprintf("/added-%d/", v)
		c.Routes = append(c.Routes, r)
	}
	s.store.PutLiveConfig(c)
}

// restoreStore makes the store lose what write writes. It is away for a moment.
func (s *deployment) restoreStore(write func()) (*platformtest.LostWrites, *platformtest.StoreCopy) {
	earlier := s.store.Copy()
	write()
	s.store.FailWith(http.StatusServiceUnavailable)
	time.Sleep(500 * time.Millisecond)
	lost := s.store.RestoreCopy(earlier)
	s.store.FailWith(0)
	return lost, earlier
}

// statuses returns the status of a request on a route from each entry.
func (s *deployment) statuses(prefix string) func() []int {
	return func() []int {
		var all []int
		for i := range s.entries {
			all = append(all, s.send(i, prefix, prefix).Status)
		}
		return all
	}
}

var _ = Describe("A store that is restored from an earlier state", func() {
	served := []int{200, 200, 200, 200}

	DescribeTable("has no configuration come into force late or back older",
		func(others int) {
			// Guards against entries that read nothing of the store until it has given out as many
			// revisions as before, and against a route that is not served because its configuration
			// has the number of a lost one.
			s := newDeployment(101, 4, 2, 4)
			lost, earlier := s.restoreStore(func() {
				for version := 2; version <= 6; version++ {
					s.putRoutes(version)
				}
				Eventually(s.statuses("/added-6/"), configTime).Should(Equal(served))
			})
			for range others {
				s.store.Put("other", "x", map[string]any{})
			}
			Consistently(s.statuses("/added-6/"), time.Second).Should(Equal(served), "in force before the restore")
			s.store.WriteAgain(lost, earlier, nil)
			Consistently(s.statuses("/added-6/"), time.Second).Should(Equal(served))
			s.putRoutes(7)
			Eventually(s.statuses("/added-7/"), configTime).Should(Equal(served))
		},
		Entry("if it has fewer revisions than before", 0),
		Entry("if it has more revisions than before", 30),
	)

	It("keeps servers in use that it has lost, and gives none to those that had left", func() {
		// Guards against the loss of the servers that registered lately, and against requests to
		// servers that have left and are listed again.
		s := newDeployment(102, 4, 2, 2)
		leaving, left, newcomer := s.backends[len(s.backends)-1], "desk-1-1", "desk-9-1"
		stop := s.startLoad("restored")
		time.Sleep(time.Second)
		lost, earlier := s.restoreStore(func() {
			Expect(s.eventsAt(left, eventArrived)).NotTo(BeEmpty())
			leaving.Drain(1500 * time.Millisecond)
			s.startBackend(platformtest.BackendConfig{ID: "desk-9", Service: "desk", Address: s.address(3, 9, 9000)}, 3)
			time.Sleep(2 * time.Second)
			Expect(s.arrivalsAt(newcomer, time.Time{})).To(BeNumerically(">", 0))
		})
		restoredAt := time.Now()
		time.Sleep(time.Second)
		// The store removes rows of servers that are gone only after some time.
		s.store.WriteAgain(lost, earlier, func(_, key string) bool { return key == left })
		time.Sleep(2 * time.Second)
		s.store.Delete(platform.TableServers, left)
		time.Sleep(time.Second)
		responses := stop()
		Expect(s.arrivalsAt(left, restoredAt)).To(BeZero())
		Expect(s.arrivalsAt(newcomer, restoredAt.Add(2500*time.Millisecond))).To(BeNumerically(">", 0))
		Expect(countStatus(responses, http.StatusOK)).To(Equal(len(responses)))
	})

	It("has versions of weights reach all engines after it, whatever their revision", func() {
		// Guards against agents and entries that take a version for an earlier state.
		s := newDeployment(103, 2, 2, 2)
		s.restoreStore(func() {
			for range 20 {
				s.store.Put("other", "x", map[string]any{})
			}
			s.store.PutTargetVersion("m", 2)
			time.Sleep(time.Second)
		})
		s.store.PutTargetVersion("m", 3)
		for _, b := range s.backends[:2] {
			Eventually(b.ServedVersion, 8*time.Second).Should(Equal(3))
		}
	})
})
