package configsim_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/configsim"
)

const (
	// propagationBound is the time within which an accepted revision must be in
	// force in every reachable failure domain.
	propagationBound = 9 * time.Second
	// maxReadsPerSecond is a tenth of the store's capacity of 2,000 reads/s.
	maxReadsPerSecond = 200
)

// itConcurrently adds a spec with a simulation. All simulations start when the
// first of these specs runs.
func itConcurrently(name string, run func(g Gomega, logf func(format string, args ...any))) {
	s := newSimulation(run)
	simulations = append(simulations, s)
	It(name, func() {
		startSimulations()
		<-s.done
		GinkgoWriter.Print(s.log.String())
		Expect(s.failure).To(BeEmpty())
		Expect(s.completed).To(BeTrue())
	})
}

var (
	simulations      []*simulation
	startSimulations = sync.OnceFunc(func() {
		for _, s := range simulations {
			s.start()
		}
	})
)

var _ = Describe("the propagation of the configuration", func() {
	// Guards against entries that keep polling a store that is down, and that all
	// resume polling at the same moment.
	itConcurrently("keeps 600 entries within 200 reads/s while the store is down, slow and available again", func(g Gomega, logf func(string, ...any)) {
		s := configsim.New(configsim.Config{Domains: 15, EntriesPerDomain: 40, Models: 1, Heartbeat: 15 * time.Second, Seed: 1})
		o := s.NewOperator()
		g.Expect(o.ApplyChange(s)).To(Succeed())
		s.StartAll()
		s.Run(time.Minute)
		s.StoreState = configsim.StoreDown
		s.Run(10 * time.Minute)
		s.StoreState = configsim.StoreSlow
		s.Run(2 * time.Minute)
		s.StoreState = configsim.StoreUp
		recovered := s.ElapsedSeconds()
		g.Expect(o.ApplyChange(s)).To(Succeed())
		s.Run(2 * time.Minute)
		logf("peak reads/s: %d in the whole run, %d after the store recovered\n", s.PeakReads(0), s.PeakReads(recovered))
		g.Expect(s.PeakReads(0)).To(BeNumerically("<=", maxReadsPerSecond))
		slowest, missing := s.PropagationDelay(2, o.AcceptedAt[2], nil)
		g.Expect(missing).To(BeZero())
		g.Expect(slowest).To(BeNumerically("<=", propagationBound))
	})

	// Guards against failure domains that stay behind. Changes are written to the
	// store and not sent to any entry, so every change has to be found by polling.
	propagates := func(name string, cfg configsim.Config, interval time.Duration, changes int) {
		itConcurrently("brings each change into force within 9 s: "+name, func(g Gomega, logf func(string, ...any)) {
			const partitioned = 1
			s := configsim.New(cfg)
			o := s.NewOperator()
			g.Expect(o.ApplyChange(s)).To(Succeed())
			s.StartAll()
			s.Run(20 * time.Second)
			s.StoreUnreachable[partitioned] = true
			for range changes {
				g.Expect(o.ApplyChange(s)).To(Succeed())
				s.Run(interval)
			}
			s.Run(propagationBound)
			worst := time.Duration(0)
			for number := 2; number < len(o.AcceptedAt); number++ {
				slowest, missing := s.PropagationDelay(uint64(number), o.AcceptedAt[number], nil)
				g.Expect(missing).To(BeZero())
				worst = max(worst, slowest)
			}

			s.PeersUnreachable[partitioned] = true
			g.Expect(o.ApplyChange(s)).To(Succeed())
			s.Run(time.Minute)
			isPartitioned := func(n *configsim.Node) bool { return n.Domain() == partitioned }
			last := uint64(len(o.AcceptedAt) - 1)
			_, missing := s.PropagationDelay(last, s.Now(), isPartitioned)
			g.Expect(missing).To(Equal(cfg.EntriesPerDomain + cfg.AgentsPerDomain))
			for _, n := range s.Nodes {
				if isPartitioned(n) {
					g.Expect(n.Replica.Age(s.Now())).To(BeNumerically(">", 50*time.Second))
				} else {
					g.Expect(n.Replica.Age(s.Now())).To(BeNumerically("<", 30*time.Second))
				}
			}
			healed := s.Now()
			s.PeersUnreachable[partitioned], s.StoreUnreachable[partitioned] = false, false
			s.Run(propagationBound)
			slowest, missing := s.PropagationDelay(last, healed, isPartitioned)
			logf("longest delay %s, after the partition %s, peak reads/s %d\n", worst, slowest, s.PeakReads(0))
			g.Expect(missing).To(BeZero())
			g.Expect(worst).To(BeNumerically("<=", propagationBound))
			g.Expect(s.PeakReads(0)).To(BeNumerically("<=", maxReadsPerSecond))
			g.Expect(s.DamagedRevisions).To(BeZero())
		})
	}
	propagates("today's size at 6,000 changes a day", configsim.Config{Domains: 3, EntriesPerDomain: 3, AgentsPerDomain: 5, Seed: 2}, 14400*time.Millisecond, 20)
	propagates("today's size in a burst of 50 within 10 s", configsim.Config{Domains: 3, EntriesPerDomain: 2, AgentsPerDomain: 5, Seed: 3}, 200*time.Millisecond, 50)
	propagates("600 entries at 6,000 changes a day", configsim.Config{Domains: 15, EntriesPerDomain: 40, Models: 1, AgentsPerDomain: 10, Seed: 4}, 14400*time.Millisecond, 5)
	propagates("600 entries in a burst of 50 within 10 s", configsim.Config{Domains: 15, EntriesPerDomain: 40, Models: 1, AgentsPerDomain: 1, Seed: 5}, 200*time.Millisecond, 50)
})
