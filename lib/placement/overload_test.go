package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
)

// rankCounts counts the requests of one rank.
type rankCounts struct{ sent, refused int }

func (c rankCounts) refusedShare() float64 { return float64(c.refused) / float64(max(1, c.sent)) }

// overload simulates the requests of one region to its engines.
type overload struct {
	ranked  bool
	engines int
	// perSecond is the number of requests per second.
	perSecond float64
	duration  time.Duration
	// burst is the number of requests per second in the first four seconds of every ten; zero
	// for no bursts.
	burst float64
	// teams draws the team of a request; nil draws one of 24 evenly.
	teams func(*rand.Rand) string
}

type endings []*ending

type ending struct {
	at      time.Time
	started bool
	lease   *placement.Lease
	rest    time.Duration
}

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(*ending)) }
func (e *endings) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// run returns the counts by rank and by team after the first second; with bursts, between
// 1.5 s after the end of each and the start of the next one.
func (o *overload) run() (ranks [3]rankCounts, teams map[string]rankCounts) {
	now := time.Unix(1000, 0)
	dir := directory.New()
	p := placement.New(placement.Config{Domain: "north"}, dir, rand.New(rand.NewPCG(1, 1)))
	e := *engine
	e.Slots = 12
	for i := range o.engines {
		s := &directory.Server{ID: fmt.Sprint("s", i), Service: "drafts", Domain: "north", Slots: e.Slots, Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}}}
		dir.Put(s)
		p.RecordVerified(s.Key(), placement.VerifiedWeights{Model: "m", Version: 1, Until: now.Add(time.Hour)})
	}
	rng := rand.New(rand.NewPCG(7, 7))
	teams = make(map[string]rankCounts)
	var open endings
	start := now
	for now.Sub(start) < o.duration {
		perSecond := o.perSecond
		if o.burst > 0 && now.Sub(start)%(10*time.Second) < 4*time.Second {
			perSecond = o.burst
		}
		next := now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		for len(open) > 0 && open[0].at.Before(next) {
			end := heap.Pop(&open).(*ending)
			now = end.at
			if end.started {
				p.Done(end.lease, placement.Answered, now)
				continue
			}
			p.ResponseStarted(end.lease, now)
			heap.Push(&open, &ending{at: now.Add(end.rest), started: true, lease: end.lease})
		}
		now = next
		rank := []int{0, 0, 1, 1, 1, 2, 2, 2, 2, 2}[rng.IntN(10)]
		team := fmt.Sprint("t", rng.IntN(24))
		if o.teams != nil {
			team = o.teams(rng)
		}
		lease, refusal := p.Pick(placement.Request{
			Service: "drafts", Engine: &e, Model: "m", PromptTokens: e.MeanPromptTokens, LatencyTarget: 400 * time.Millisecond, Remaining: 6 * time.Second,
			Ranked: o.ranked, Rank: rank, Team: team,
		}, now)
		if refusal == nil {
			rest := time.Duration(rng.ExpFloat64() * float64(e.MeanOutputTokens) / 5 * float64(75*time.Millisecond))
			heap.Push(&open, &ending{at: now.Add(lease.Predicted), lease: lease, rest: rest})
		}
		if now.Sub(start) < time.Second || o.burst > 0 && now.Sub(start)%(10*time.Second) < 5500*time.Millisecond {
			continue
		}
		t := teams[team]
		ranks[rank].sent++
		t.sent++
		if refusal != nil {
			ranks[rank].refused++
			t.refused++
		}
		teams[team] = t
	}
	return ranks, teams
}

var _ = Describe("Placement under overload", func() {
	DescribeTable("refuses the least urgent requests first",
		// Guards against refusals of the most urgent rank while less urgent requests are served:
		// all ranks were refused at the same rate.
		func(perSecond, urgent, least float64) {
			o := overload{ranked: true, engines: 11, perSecond: perSecond, duration: 30 * time.Second}
			ranks, _ := o.run()
			Expect(ranks[0].refusedShare()).To(BeNumerically("<=", urgent), "%+v", ranks)
			Expect(ranks[0].refusedShare()).To(BeNumerically("<=", ranks[1].refusedShare()))
			Expect(ranks[1].refusedShare()).To(BeNumerically("<=", ranks[2].refusedShare()))
			Expect(ranks[2].refusedShare()).To(BeNumerically("<=", least))
		},
		Entry("no overload", 60.0, 0.0, 0.0),
		Entry("slight overload", 80.0, 0.02, 0.2),
		Entry("overload", 100.0, 0.04, 0.6),
		Entry("heavy overload", 130.0, 0.08, 0.85),
	)

	It("refuses nearly nothing 1.5 s after a burst", func() {
		// Guards against refusals of the least urgent rank on engines that have free slots again:
		// 8 % of its requests between the bursts.
		o := overload{ranked: true, engines: 11, perSecond: 65, burst: 160, duration: 120 * time.Second}
		ranks, _ := o.run()
		for _, r := range ranks {
			Expect(r.refusedShare()).To(BeNumerically("<=", 0.01), "%+v", ranks)
		}
	})

	It("places as before where ranks are equal or nothing is overloaded", func() {
		// Guards against other decisions in deployments without ranks or without overload.
		unranked, _ := (&overload{engines: 11, perSecond: 60, duration: 10 * time.Second}).run()
		ranked, _ := (&overload{ranked: true, engines: 11, perSecond: 60, duration: 10 * time.Second}).run()
		Expect(ranked).To(Equal(unranked))
	})

	It("serves small teams in full beside one that sends most of the requests", func() {
		// Guards against a team whose surplus displaces the requests of small teams.
		o := overload{ranked: true, engines: 11, perSecond: 110, duration: 30 * time.Second, teams: func(rng *rand.Rand) string {
			if rng.IntN(10) < 7 {
				return "large"
			}
			return fmt.Sprint("t", rng.IntN(23))
		}}
		_, teams := o.run()
		var small rankCounts
		for name, c := range teams {
			if name != "large" {
				small.sent, small.refused = small.sent+c.sent, small.refused+c.refused
			}
		}
		Expect(teams["large"].refusedShare()).To(BeNumerically(">", 2*small.refusedShare()))
		Expect(small.refusedShare()).To(BeNumerically("<", 0.15))
	})
})
