package relay

import (
	"context"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A region of 15 instances behind a slow link", func() {
	const (
		instances = 15
		// size is that of a configuration of 1,452 routes. The links have 24 Mbit/s, of which
		// other traffic takes most at times.
		size = 525_000
		// smallSize is that of 252 routes.
		smallSize = 90_000
		idleLink  = 3_000_000
		busyLink  = 300_000
		bound     = 3 * time.Second
	)
	// outcome is the number of instances that lack a version when the bound has passed, and
	// that of copies that have crossed the link.
	type outcome struct{ Behind, Copies int }
	// cutTrial cuts the first instances off from the store when a version is declared.
	cutTrial := func(cut, size int) outcome {
		return inBubble(func(ctx context.Context) outcome {
			r := newRegion(ctx, instances, idleLink)
			for _, m := range r.members[:cut] {
				m.store.cut.Store(true)
			}
			r.declare("1", size)
			time.Sleep(bound)
			return outcome{Behind: r.behind(cut, "1"), Copies: r.link.copyCount()}
		})
	}

	It("reads a new version once if the relaying instance loses the store as it is declared", func() {
		// Guards against followers that all read the store at once: 14 copies of 175 ms each.
		Expect(cutTrial(1, size)).To(Equal(outcome{Copies: 1}))
	})

	It("reads a new version once if the relaying instance and the next one lose the store", func() {
		// Guards against a stand-in that fails together with the relaying instance.
		Expect(cutTrial(2, size)).To(Equal(outcome{Copies: 1}))
	})

	It("reads a new version once if the relaying instance and the next one fall silent", func() {
		// Guards against followers that wait for each silent instance as long as for the first:
		// all instances of a failure domain may be cut off together.
		Expect(inBubble(func(ctx context.Context) outcome {
			r := newRegion(ctx, instances, idleLink)
			for _, m := range r.members[:2] {
				m.frozen.Store(true)
				m.store.cut.Store(true)
			}
			r.declare("1", size)
			time.Sleep(bound)
			return outcome{Behind: r.behind(2, "1"), Copies: r.link.copyCount()}
		})).To(Equal(outcome{Copies: 1}))
	})

	It("reads a new version once while its transfer takes longer than the time after which an instance without an answer is behind", func() {
		// Guards against followers that leave an instance that is receiving the answer of the
		// store, and whose copies then delay each other.
		Expect(inBubble(func(ctx context.Context) outcome {
			r := newRegion(ctx, instances, busyLink)
			r.declare("1", size)
			time.Sleep(bound)
			return outcome{Behind: r.behind(0, "1"), Copies: r.link.copyCount()}
		})).To(Equal(outcome{Copies: 1}))
	})

	It("has the newest of several versions in force in time while they are declared a second apart", func() {
		// Guards against instances that work through versions which were superseded, and against
		// copies that queue behind each other. A copy takes 0.88 s.
		late := inBubble(func(ctx context.Context) (late []outcome) {
			r := newRegion(ctx, instances, 2*busyLink)
			for i := range 10 {
				r.declare(strconv.Itoa(i), size)
				time.Sleep(time.Second)
				if i >= 2 {
					late = append(late, outcome{Behind: r.behind(0, strconv.Itoa(i-2)), Copies: r.link.copyCount()})
				}
			}
			return late
		})
		for i, o := range late {
			Expect(o.Behind).To(BeZero(), "version %d", i)
			Expect(o.Copies).To(BeNumerically("<=", i+4), "one of each version, and one of all rows")
		}
	})

	It("reads by itself if none of the instances that it may follow reaches the store", func() {
		// Guards against followers that wait for stand-ins which cannot serve them.
		Expect(cutTrial(3, smallSize).Behind).To(BeZero())
	})

	It("reads few copies when the region reaches the store again", func() {
		// Guards against instances that have each failed by themselves and then each read what
		// they have missed.
		Expect(inBubble(func(ctx context.Context) outcome {
			r := newRegion(ctx, instances, idleLink)
			for _, m := range r.members {
				m.store.cut.Store(true)
			}
			r.declare("1", size)
			time.Sleep(10 * time.Second)
			r.declare("2", size)
			for _, m := range r.members {
				m.store.cut.Store(false)
			}
			// The stability time of 2 s in addition.
			time.Sleep(bound + 2*time.Second)
			return outcome{Behind: r.behind(0, "2"), Copies: r.link.copyCount()}
		})).To(And(HaveField("Behind", 0), HaveField("Copies", BeNumerically("<=", 3))))
	})

	It("gives the table to instances that start", func() {
		// Guards against entries that are restarted one after another and each read the table
		// over the link, as they do not know the others of the region yet.
		Expect(inBubble(func(ctx context.Context) outcome {
			r := newRegion(ctx, instances, idleLink)
			r.declare("1", size)
			time.Sleep(bound)
			for i, m := range r.members {
				m.stop()
				time.Sleep(100 * time.Millisecond)
				r.start(ctx, i)
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(bound)
			return outcome{Behind: r.behind(0, "1"), Copies: r.link.copyCount()}
		})).To(Equal(outcome{Copies: 1}))
	})
})
