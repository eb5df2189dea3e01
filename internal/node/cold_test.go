package node

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// testColdRate is what a cold server tolerates, in requests per second. In any second,
	// it may get maxColdRatio times that and coldSlack requests.
	testColdRate = 6.0
	maxColdRatio = 1.5
	coldSlack    = 5
	// coldNotice is the time after which entries must know that a server has become cold.
	coldNotice = 300 * time.Millisecond
)

// coldLoad is a load during which servers become cold.
type coldLoad struct {
	prefix   string
	servers  []int
	coldTime time.Duration
	// restart makes an entry restart during the load.
	restart bool
}

// run runs the load for two seconds longer than the servers are cold. It checks the
// requests in each second at each of them, and returns the responses and the number of
// requests at the servers while they were cold, and a second and more after that.
func (c coldLoad) run(s *deployment) (responses []platformtest.Response, whileCold, whileWarm int) {
	load := limitLoad{c.prefix, time.Second, 25 * time.Millisecond}
	s.warmUp(load)
	config := s.liveConfig(2)
	config.ColdPerSecond = testColdRate
	s.store.PutLiveConfig(config)
	time.Sleep(stabilityTime)
	var ids []string
	for _, server := range c.servers {
		ids = append(ids, s.backends[server].BecomeCold(c.coldTime))
	}
	becameCold := time.Now()
	var restarts sync.WaitGroup
	if c.restart {
		restarts.Add(1)
		go func() {
			defer restarts.Done()
			defer GinkgoRecover()
			s.restart(0)
		}()
	}
	load.duration = c.coldTime + 2*time.Second
	responses = load.run(s)
	restarts.Wait()
	for _, id := range ids {
		var window []time.Time
		most := 0
		for _, e := range s.eventsAt(id, eventArrived) {
			switch after := e.at.Sub(becameCold); {
			case after < coldNotice:
			case after < c.coldTime:
				whileCold++
				window = append(window, e.at)
				for e.at.Sub(window[0]) > time.Second {
					window = window[1:]
				}
				most = max(most, len(window))
			case after > c.coldTime+time.Second:
				whileWarm++
			}
		}
		AddReportEntry("requests in a second", most)
		Expect(float64(most)).To(BeNumerically("<=", maxColdRatio*testColdRate+coldSlack), id)
	}
	AddReportEntry("requests while cold and while warm", []int{whileCold, whileWarm})
	// At least a third of what they tolerate is used, and more when they are warm.
	tolerated := testColdRate * float64(len(ids)) * c.coldTime.Seconds()
	Expect(float64(whileCold)).To(BeNumerically(">=", tolerated/3))
	Expect(float64(whileWarm)).To(BeNumerically(">", float64(whileCold)/c.coldTime.Seconds()))
	return responses, whileCold, whileWarm
}

var _ = Describe("Cold servers", func() {
	It("get only what they tolerate from all entries together, while others serve the rest", func() {
		// Guards against servers that crash because all entries use them as soon as they are
		// back, when nothing runs on them.
		s := newDeployment(84, 4, 4, 4)
		responses, _, _ := coldLoad{"/draft/", []int{0, 1}, 3 * time.Second, false}.run(s)
		Expect(countStatus(responses, http.StatusOK)).To(BeNumerically(">=", len(responses)*9/10))
	})

	It("get only that while an entry restarts", func() {
		// Guards against an entry that starts without knowing that they are cold, and against
		// two entries that use the same share.
		coldLoad{"/draft/", []int{0, 1}, 6 * time.Second, true}.run(newDeployment(85, 4, 4, 4))
	})

	It("have the rest refused at once if there are no others", func() {
		// Guards against plain servers, which each entry chooses for itself, and against
		// requests that wait until the servers are warm.
		s := newDeployment(86, 4, 2, 4)
		responses, _, _ := coldLoad{"/status/", []int{2, 3, 4, 5}, 3 * time.Second, false}.run(s)
		for _, r := range responses {
			if r.Status != http.StatusOK {
				Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
				Expect(r.RetryAfter).To(BeNumerically(">", 0))
			}
		}
		Expect(s.logs.String()).To(MatchRegexp(`event=7201 .*reason=rate_limited .*left_out="desk-\d-1: cold for \d+ ms`))
	})
})
