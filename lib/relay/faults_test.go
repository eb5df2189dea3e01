package relay

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A region of 15 instances in which several faults come together", func() {
	const (
		instances = 15
		bound     = 3 * time.Second
		smallRow  = 1_000
		phases    = 10
		// phaseStep divides the time between two confirmations of the store.
		phaseStep = 80 * time.Millisecond
		idleLink  = 3_000_000
		// trickle is the pause between two bytes of an answer that never ends.
		trickle = 750 * time.Millisecond
	)
	// behindAfterBound returns, for each phase of the calls to the store, how many instances
	// from the given one on lack a version when the bound has passed.
	behindAfterBound := func(healthyFrom int, fault func(r *region)) (behind []int) {
		for phase := range phases {
			behind = append(behind, inBubble(func(ctx context.Context) int {
				r := newRegion(ctx, instances, idleLink)
				time.Sleep(time.Duration(phase) * phaseStep)
				fault(r)
				r.declare("1", smallRow)
				time.Sleep(bound)
				return r.behind(healthyFrom, "1")
			}))
		}
		return behind
	}
	none := HaveEach(0)

	DescribeTable("has a small row in time in all healthy instances",
		// Guards against silent and cut instances that use up the bound one after another.
		func(frozen, cut []int) {
			Expect(behindAfterBound(3, func(r *region) {
				for _, i := range frozen {
					r.members[i].frozen.Store(true)
				}
				for _, i := range append(cut, frozen...) {
					r.members[i].store.cut.Store(true)
				}
			})).To(none)
		},
		Entry("first three frozen", []int{0, 1, 2}, []int{}),
		Entry("first cut from the store, second and third frozen", []int{1, 2}, []int{0}),
		Entry("first and third frozen, second cut", []int{0, 2}, []int{1}),
		Entry("first frozen, second and third cut", []int{0}, []int{1, 2}),
		Entry("all three cut", []int{}, []int{0, 1, 2}),
	)

	DescribeTable("has a small row in time although answers of the store to the first ones trickle",
		// Guards against an instance with a stalled path to the store that delays the region.
		func(count int, pause time.Duration) {
			Expect(behindAfterBound(count, func(r *region) {
				for _, m := range r.members[:count] {
					m.store.trickle.Store(int64(pause))
				}
			})).To(none)
		},
		Entry("first", 1, trickle),
		Entry("first two", 2, trickle),
		Entry("first three", 3, trickle),
		Entry("first three stall after one byte", 3, time.Hour),
		Entry("first three, often enough to count as arriving", 3, trickle/10),
	)

	DescribeTable("leaves no stand-in without the store behind a first instance that works",
		// Guards against followers whose requests keep an instance reading a store that it
		// cannot reach.
		func(followers int) {
			Expect(inBubble(func(ctx context.Context) time.Duration {
				r := newRegion(ctx, instances, idleLink)
				r.members[1].store.cut.Store(true)
				for i := 2; i < 2+followers; i++ {
					r.pipes.cut(r.ranked[i], r.ranked[0])
				}
				var longest, since time.Duration
				for version := range 10 {
					r.declare(string(rune('0'+version)), smallRow)
					for range 200 {
						time.Sleep(10 * time.Millisecond)
						if since += 10 * time.Millisecond; r.lacks(1, string(rune('0'+version))) == 0 {
							since = 0
						}
						longest = max(longest, since)
					}
				}
				return longest
			})).To(BeNumerically("<", bound/4))
		},
		Entry("no follower cut from the first", 0),
		Entry("one", 1),
		Entry("four", 4),
		Entry("eight", 8),
	)

	It("gives no instance that starts an older table than it had in force", func() {
		// Guards against a first instance whose answer of the store arrives slowly and that
		// hands out the rows from before its cut meanwhile.
		Expect(inBubble(func(ctx context.Context) []string {
			r := newRegion(ctx, instances, idleLink)
			r.declare("1", smallRow)
			time.Sleep(bound)
			r.members[0].store.cut.Store(true)
			time.Sleep(2 * time.Second)
			r.declare("2", smallRow)
			time.Sleep(30 * time.Second)
			r.members[0].store.trickle.Store(int64(100 * time.Millisecond))
			r.members[0].store.cut.Store(false)
			var seen []string
			for range 10 {
				time.Sleep(300 * time.Millisecond)
				r.members[9].stop()
				r.start(ctx, 9)
				for range 40 {
					time.Sleep(50 * time.Millisecond)
					if value := r.members[9].received.get("config"); value != "" && !slices.Contains(seen, value[:1]) {
						seen = append(seen, value[:1])
					}
				}
			}
			return seen
		})).To(Equal([]string{"2"}))
	})
})
