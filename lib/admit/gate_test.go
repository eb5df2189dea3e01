package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/admit"
)

var _ = Describe("Gate", func() {
	const limit = 360 * time.Millisecond
	var (
		g   *admit.Gate
		now time.Time
	)
	offer := func(rank int, team string, predicted time.Duration) admit.Offer {
		return admit.Offer{Rank: rank, Team: team, Predicted: predicted, Limit: limit, Remaining: 6 * time.Second}
	}
	decide := func(o admit.Offer) admit.Verdict {
		now = now.Add(10 * time.Millisecond)
		return g.Decide(now, o)
	}
	// refuse has n requests of a rank refused, and as many of it admitted.
	refuse := func(rank, n int) {
		for range n {
			Expect(decide(offer(rank, "", limit+1)).Decision).To(Equal(admit.Refuse))
			Expect(decide(offer(rank, "", 0)).Decision).To(Equal(admit.Admit))
		}
	}
	BeforeEach(func() {
		g, now = admit.NewGate(rand.New(rand.NewPCG(1, 1))), start
	})

	It("admits up to the limit without overload", func() {
		// Guards against ranks and teams that matter while there is room.
		for i := range 1000 {
			Expect(decide(offer(i%10, fmt.Sprint(i%7), limit)).Decision).To(Equal(admit.Admit))
		}
	})

	It("admits lower ranks up to a smaller share while a higher one is refused, and recovers", func() {
		// Guards against an urgent request that is refused because less urgent ones took its place.
		decide(offer(2, "", 0))
		refuse(1, 20)
		Expect(decide(offer(1, "", limit)).Decision).To(Equal(admit.Admit))
		Expect(decide(offer(0, "", limit)).Decision).To(Equal(admit.Admit))
		Expect(decide(offer(2, "", limit*3/4)).Decision).To(Equal(admit.Refuse))
		now = now.Add(5 * time.Second)
		Expect(decide(offer(2, "", limit)).Decision).To(Equal(admit.Admit))
	})

	It("admits all ranks up to the limit a second after the last refusal", func() {
		// Guards against refusals for seconds after a burst, while servers are idle.
		for range 200 {
			refuse(0, 1)
			decide(offer(2, "", 0))
		}
		Expect(decide(offer(2, "", limit*4/5)).Decision).To(Equal(admit.Refuse))
		now = now.Add(1100 * time.Millisecond)
		Expect(decide(offer(2, "", limit)).Decision).To(Equal(admit.Admit))
	})

	It("admits a starved rank up to the full limit", func() {
		// Guards against a rank that gets nothing for as long as the overload lasts.
		admitted := 0
		decide(offer(2, "", 0))
		for range 400 {
			Expect(decide(offer(0, "", limit)).Decision).To(Equal(admit.Admit))
			decide(offer(0, "", limit+1))
			if decide(offer(2, "", limit)).Decision == admit.Admit {
				admitted++
			}
		}
		Expect(admitted).To(BeNumerically(">", 60))
		Expect(admitted).To(BeNumerically("<", 200))
	})

	It("does not count admitted requests that are refused later as admitted", func() {
		// Guards against a rank whose requests all expire in a queue and that is not taken for
		// starved.
		for range 300 {
			decide(offer(0, "", 0))
			decide(offer(0, "", limit+1))
			if decide(offer(2, "t", 0)).Decision == admit.Admit {
				g.Refused(now, 2, "t")
			}
		}
		Expect(decide(offer(2, "t", limit)).Decision).To(Equal(admit.Admit))
	})

	It("admits late requests of a starved rank up to the full limit", func() {
		// Guards against a rank that stays starved because its requests wait and become late.
		for range 200 {
			decide(offer(0, "", 0))
			decide(offer(0, "", limit+1))
			decide(offer(2, "", limit+1))
		}
		late := offer(2, "", limit)
		late.Late, late.Waiting = true, true
		Expect(decide(late).Decision).To(Equal(admit.Admit))
	})

	It("does not reduce teams for refused requests without one", func() {
		// Guards against teams that are reduced for requests that are not compared with theirs.
		for range 40 {
			decide(offer(1, "large", 0))
		}
		decide(offer(1, "small", 0))
		for range 20 {
			decide(offer(1, "", limit+1))
		}
		Expect(decide(offer(1, "large", limit)).Decision).To(Equal(admit.Admit))
	})

	It("admits teams below their fair share before others of the same rank", func() {
		// Guards against a large team that takes the places of small ones.
		for range 40 {
			decide(offer(1, "large", 0))
		}
		decide(offer(1, "small", 0))
		for range 20 {
			Expect(decide(offer(1, "small", limit+1)).Decision).To(Equal(admit.Refuse))
		}
		Expect(decide(offer(1, "large", limit*3/4)).Decision).To(Equal(admit.Refuse))
		Expect(decide(offer(1, "small", limit)).Decision).To(Equal(admit.Admit))
		Expect(decide(offer(1, "", limit)).Decision).To(Equal(admit.Admit))
	})

	It("admits late requests after all that can be in time", func() {
		// Guards against an answer in time that is lost for a late one of a more urgent rank.
		decide(offer(2, "", 0))
		refuse(2, 20)
		late := offer(0, "", limit*3/4)
		late.Late, late.Waiting = true, true
		Expect(decide(offer(0, "", limit)).Decision).To(Equal(admit.Admit))
		Expect(decide(late).Decision).To(Equal(admit.Refuse))
	})

	It("keeps the state of a bounded number of teams", func() {
		// Guards against memory that grows with the number of names that were ever sent.
		for i := range 100_000 {
			decide(offer(0, fmt.Sprint("t", i), 0))
		}
		Expect(g.Teams()).To(BeNumerically("<=", 256))
		now = now.Add(time.Minute)
		decide(offer(0, "t", 0))
		Expect(g.Teams()).To(Equal(1))
	})

	It("spreads refused callers over an interval that grows with their number", func() {
		// Guards against callers that return at the same moment and are refused again.
		few := decide(offer(0, "", limit+50*time.Millisecond)).RetryAfter
		Expect(few).To(BeNumerically("~", 300*time.Millisecond, 200*time.Millisecond))
		var shortest, longest time.Duration = time.Hour, 0
		for i := range 600 {
			decide(offer(0, "", 0))
			v := decide(offer(0, "", limit+50*time.Millisecond))
			if i > 300 {
				shortest, longest = min(shortest, v.RetryAfter), max(longest, v.RetryAfter)
			}
		}
		Expect(shortest).To(BeNumerically(">=", 100*time.Millisecond))
		Expect(longest).To(BeNumerically("<=", 100*time.Millisecond+limit/2), "in time for their latency target")
		Expect(longest - shortest).To(BeNumerically(">", limit/3))
		short := offer(0, "", 2*time.Second)
		short.Remaining = 600 * time.Millisecond
		Expect(decide(short).RetryAfter).To(BeNumerically("<=", 200*time.Millisecond))
	})

	It("spreads callers that may wait as well", func() {
		// Guards against callers that return at the same moment when the queue of their entry is
		// full: Wait is then a refusal.
		longest := func(waitPlaced bool) (longest time.Duration) {
			g = admit.NewGate(rand.New(rand.NewPCG(1, 1)))
			for range 300 {
				decide(offer(0, "", 0))
				o := offer(0, "", limit+1)
				o.MaxWait = time.Second
				longest = max(longest, decide(o).RetryAfter)
				if waitPlaced {
					o.Predicted, o.Waiting = 0, true
					decide(o)
				}
			}
			return longest
		}
		Expect(longest(false)).To(BeNumerically(">", 100*time.Millisecond+limit/3))
		Expect(longest(true)).To(BeNumerically("<", 300*time.Millisecond))
	})

	It("counts requests that wait for a server as offered", func() {
		// Guards against a rank that seems to have more requests admitted than offered, so that
		// others seem starved.
		for range 300 {
			decide(offer(1, "", 0))
			decide(offer(0, "", limit+1))
			for range 5 {
				g.RecordUnavailable(now, 2)
				o := offer(2, "", 0)
				o.Waiting = true
				Expect(decide(o).Decision).To(Equal(admit.Admit))
			}
		}
		Expect(decide(offer(1, "", limit*3/4)).Decision).To(Equal(admit.Refuse))
	})

	It("lets requests wait that may", func() {
		may := offer(2, "", limit+1)
		may.MaxWait = time.Second
		v := decide(may)
		Expect(v.Decision).To(Equal(admit.Wait))
		Expect(v.RetryAfter).To(BeNumerically(">", 0))
	})

	It("counts each request of an overload once", func() {
		// Guards against a count of tries, of which a waiting request makes many.
		o := offer(0, "", limit+1)
		o.MaxWait = time.Second
		Expect(decide(o).Overload.Change).To(Equal(admit.OverloadBegan))
		o.Waiting = true
		for range 10 {
			decide(o)
		}
		o.MaxWait = 0
		decide(o)
		decide(offer(0, "", limit+1))
		now = now.Add(6 * time.Second)
		ended := decide(offer(0, "", 0)).Overload
		Expect(ended.Change).To(Equal(admit.OverloadEnded))
		Expect(ended.NotAdmitted).To(Equal(2))
		Expect(ended.Duration).To(Equal(120 * time.Millisecond))
		Expect(g.Close().Change).To(Equal(admit.OverloadUnchanged))
	})

	It("takes ranks out of range for the nearest one", func() {
		// Guards against a datagram of another entry that ends the process.
		for _, rank := range []int{-1 << 62, -1, 10, 1 << 62} {
			decide(offer(rank, "", limit+1))
		}
		stats := g.Stats(now)
		Expect(stats).To(HaveLen(2))
		Expect(stats[1].Rank).To(Equal(admit.MaxRank))
		Expect(stats[1].Refused).To(BeEquivalentTo(2))
	})
})

func BenchmarkGate(b *testing.B) {
	for _, teams := range []int{24, 100_000} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprint("team-", i)
			}
			g, now := admit.NewGate(rand.New(rand.NewPCG(1, 1))), start
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				now = now.Add(100 * time.Microsecond)
				g.Decide(now, admit.Offer{Rank: i % 3, Team: names[i%teams], Predicted: time.Duration(i%500) * time.Millisecond, Limit: 360 * time.Millisecond, Remaining: time.Second})
			}
		})
	}
}
