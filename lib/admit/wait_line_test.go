package admit_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/admit"
)

var _ = Describe("WaitLine", func() {
	It("serves by rank, and within a rank the teams in turn", func() {
		// Guards against a team with many waiting requests that delays those of others.
		var l admit.WaitLine
		waiters := make(map[string]*admit.Waiter)
		join := func(rank int, team, name string) { waiters[name] = l.Join(rank, team, name, start) }
		for i := range 3 {
			join(1, "large", fmt.Sprint("large", i))
		}
		join(2, "large", "least")
		join(1, "small", "small")
		join(0, "small", "urgent")
		var order []string
		for l.Len() > 0 {
			name := l.First().(string)
			order = append(order, name)
			l.Leave(waiters[name], true, start)
		}
		Expect(order).To(Equal([]string{"urgent", "large0", "small", "large1", "large2", "least"}))
	})

	It("expects a wait in proportion to the requests ahead and the rate of placements", func() {
		// Guards against requests that wait although nothing is placed.
		var l admit.WaitLine
		now := start
		Expect(l.ExpectedWait(1, now)).To(BeZero())
		var waiting []*admit.Waiter
		for range 30 {
			waiting = append(waiting, l.Join(1, "t", "", now))
		}
		now = now.Add(500 * time.Millisecond)
		Expect(l.ExpectedWait(1, now)).To(Equal(500 * time.Millisecond))
		Expect(l.Unserved(1, now)).To(Equal(500 * time.Millisecond))
		for _, w := range waiting[:10] {
			now = now.Add(50 * time.Millisecond)
			l.Leave(w, true, now)
		}
		Expect(l.Unserved(1, now)).To(BeZero())
		// 10 in the last second, 20 ahead.
		Expect(l.ExpectedWait(1, now)).To(BeNumerically("~", 2100*time.Millisecond, 400*time.Millisecond))
		Expect(l.ExpectedWait(0, now)).To(BeZero())
	})

	It("forgets a wait without a placement once it has been empty", func() {
		// Guards against refusals for an outage that has long ended.
		var l admit.WaitLine
		w := l.Join(0, "t", "", start)
		l.Leave(w, false, start.Add(time.Second))
		l.Join(0, "t", "", start.Add(2*time.Second))
		Expect(l.Unserved(0, start.Add(3*time.Second))).To(Equal(3 * time.Second))
		var other admit.WaitLine
		other.Leave(other.Join(0, "t", "", start), false, start.Add(time.Second))
		other.Join(0, "t", "", start.Add(time.Minute))
		Expect(other.Unserved(0, start.Add(time.Minute))).To(BeZero())
	})

	It("judges a rank by its own placements and those of more urgent ones", func() {
		// Guards against urgent requests that may not wait because a less urgent one has waited
		// for long.
		var l admit.WaitLine
		least := l.Join(2, "t", "", start)
		now := start.Add(3 * time.Second)
		Expect(l.Unserved(1, now)).To(BeZero())
		Expect(l.Unserved(2, now)).To(Equal(3 * time.Second))
		urgent := l.Join(0, "t", "", now)
		l.Leave(urgent, true, now)
		Expect(l.Unserved(2, now)).To(Equal(3 * time.Second))
		l.Placed(2, now)
		Expect(l.Unserved(2, now)).To(BeZero())
		l.Leave(least, false, now)
	})

	It("loses no request", func() {
		// Guards against a request that never has its turn, and against state that stays.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var l admit.WaitLine
			waiting := make(map[string]*admit.Waiter)
			now, serial := start, 0
			t.Repeat(map[string]func(*rapid.T){
				"join": func(t *rapid.T) {
					serial++
					name := fmt.Sprint(serial)
					waiting[name] = l.Join(rapid.IntRange(-1, 11).Draw(t, "rank"), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"), name, now)
				},
				"leave": func(t *rapid.T) {
					if len(waiting) == 0 {
						return
					}
					name := rapid.SampledFrom(slices.Sorted(maps.Keys(waiting))).Draw(t, "name")
					l.Leave(waiting[name], rapid.Bool().Draw(t, "placed"), now)
					delete(waiting, name)
				},
				"turn": func(t *rapid.T) {
					if name, ok := l.First().(string); ok {
						l.PassTurn(waiting[name])
					}
				},
				"time": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				},
				"": func(t *rapid.T) {
					name, _ := l.First().(string)
					if l.Len() != len(waiting) || (waiting[name] != nil) != (len(waiting) > 0) {
						t.Fatalf("%d waiting, first %q, want %d", l.Len(), name, len(waiting))
					}
					if l.ExpectedWait(1, now) < 0 {
						t.Fatal("negative wait")
					}
				},
			})
		})
	})
})
