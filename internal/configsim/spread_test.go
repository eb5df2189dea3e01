package configsim_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/configsim"
)

const (
	// inForceBound is the time within which an accepted revision is in force in
	// every reachable failure domain.
	inForceBound = 9 * time.Second
	// readBound is a tenth of the store's 2,000 reads/s.
	readBound = 200
)

// concurrently adds a spec whose simulation starts with the first such spec.
func concurrently(name string, run func(g Gomega, logf func(format string, args ...any))) {
	s := newSimulation(run)
	simulations = append(simulations, s)
	It(name, func() {
		startAll()
		<-s.done
		GinkgoWriter.Print(s.log.String())
		Expect(s.failure).To(BeEmpty())
		Expect(s.finished).To(BeTrue())
	})
}

var (
	simulations []*simulation
	startAll    = sync.OnceFunc(func() {
		for _, s := range simulations {
			s.start()
		}
	})
)

var _ = Describe("the spread of the configuration", func() {
	// Guards against entries that keep asking a store that is down, and that
	// all return at the same moment.
	concurrently("keeps 600 entries within 200 reads/s while the store is down, slow and back", func(g Gomega, logf func(string, ...any)) {
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
		back := s.ElapsedSeconds()
		g.Expect(o.ApplyChange(s)).To(Succeed())
		s.Run(2 * time.Minute)
		logf("peak reads/s: %d in the whole run, %d after the return\n", s.PeakReads(0), s.PeakReads(back))
		g.Expect(s.PeakReads(0)).To(BeNumerically("<=", readBound))
		slowest, missing := s.PropagationDelay(2, o.AcceptedAt[2], nil)
		g.Expect(missing).To(BeZero())
		g.Expect(slowest).To(BeNumerically("<=", inForceBound))
	})

	// Guards against domains that stay behind: none of the entries that accept
	// is told directly, so every change has to be found by polling.
	bringsIntoForce := func(name string, cfg configsim.Config, every time.Duration, changes int) {
		concurrently("brings each change into force within 9 s: "+name, func(g Gomega, logf func(string, ...any)) {
			const cut = 1
			s := configsim.New(cfg)
			o := s.NewOperator()
			g.Expect(o.ApplyChange(s)).To(Succeed())
			s.StartAll()
			s.Run(20 * time.Second)
			s.StoreUnreachable[cut] = true
			for range changes {
				g.Expect(o.ApplyChange(s)).To(Succeed())
				s.Run(every)
			}
			s.Run(inForceBound)
			worst := time.Duration(0)
			for number := 2; number < len(o.AcceptedAt); number++ {
				slowest, missing := s.PropagationDelay(uint64(number), o.AcceptedAt[number], nil)
				g.Expect(missing).To(BeZero())
				worst = max(worst, slowest)
			}

			s.PeersUnreachable[cut] = true
			g.Expect(o.ApplyChange(s)).To(Succeed())
			s.Run(time.Minute)
			isCut := func(n *configsim.Node) bool { return n.Domain() == cut }
			last := uint64(len(o.AcceptedAt) - 1)
			_, missing := s.PropagationDelay(last, s.Now(), isCut)
			g.Expect(missing).To(Equal(cfg.EntriesPerDomain + cfg.AgentsPerDomain))
			for _, n := range s.Nodes {
				if isCut(n) {
					g.Expect(n.Replica.Age(s.Now())).To(BeNumerically(">", 50*time.Second))
				} else {
					g.Expect(n.Replica.Age(s.Now())).To(BeNumerically("<", 30*time.Second))
				}
			}
			healed := s.Now()
			s.PeersUnreachable[cut], s.StoreUnreachable[cut] = false, false
			s.Run(inForceBound)
			slowest, missing := s.PropagationDelay(last, healed, isCut)
			logf("slowest %s, after healing %s, peak reads/s %d\n", worst, slowest, s.PeakReads(0))
			g.Expect(missing).To(BeZero())
			g.Expect(worst).To(BeNumerically("<=", inForceBound))
			g.Expect(s.PeakReads(0)).To(BeNumerically("<=", readBound))
			g.Expect(s.DamagedRevisions).To(BeZero())
		})
	}
	bringsIntoForce("today's size at 6,000 changes a day", configsim.Config{Domains: 3, EntriesPerDomain: 3, AgentsPerDomain: 5, Seed: 2}, 14400*time.Millisecond, 20)
	bringsIntoForce("today's size in a burst of 50 within 10 s", configsim.Config{Domains: 3, EntriesPerDomain: 2, AgentsPerDomain: 5, Seed: 3}, 200*time.Millisecond, 50)
	bringsIntoForce("600 entries at 6,000 changes a day", configsim.Config{Domains: 15, EntriesPerDomain: 40, Models: 1, AgentsPerDomain: 10, Seed: 4}, 14400*time.Millisecond, 5)
	bringsIntoForce("600 entries in a burst of 50 within 10 s", configsim.Config{Domains: 15, EntriesPerDomain: 40, Models: 1, AgentsPerDomain: 1, Seed: 5}, 200*time.Millisecond, 50)
})
