package fleet

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/pace"
	"github.com/auburnbend/auburnbend/lib/route"
)

var _ = Describe("The pacer", func() {
	const (
		slots = 16
		pool  = "drafting"
	)
	var (
		p       *pacer
		now     time.Time
		changes []string
	)
	key := func(name string, generation uint64) route.Key {
		return route.Key{Instance: model.InstanceID(name), Generation: model.Generation(generation)}
	}
	old := key("old", 1)
	BeforeEach(func() {
		now, changes = time.Unix(1000, 0), nil
		p = newPacer(func(k route.Key, cause pace.Cause, limited bool, _ time.Duration) {
			changes = append(changes, fmt.Sprint(k.Instance, k.Generation, " ", cause, " ", limited))
		})
	})
	// respond lets n requests on a server wait for their first frames.
	respond := func(k route.Key, n int, took time.Duration) {
		var samples []*paceSample
		for i := range n {
			samples = append(samples, p.placed(k, pool, i+1, slots, now))
		}
		now = now.Add(took)
		for _, s := range samples {
			p.answered(s, now)
			p.finished(s, false, now)
		}
	}
	load := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			respond(old, 4, 100*time.Millisecond)
		}
	}
	full := func(k route.Key, own int) bool { return p.full(k, own, own, slots, now) }

	It("limits servers that join under load, and no others", func() {
		// Guards against an entry that limits all agents as it starts, or those that connect
		// again after a cut.
		p.joined(old, pool, now, now)
		load(4 * time.Second)
		Expect(p.limited(now)).To(BeZero())
		p.removed(old, now)
		p.joined(old, pool, now, now)
		p.joined(key("other", 1), "idle pool", now, now)
		load(time.Second)
		Expect(changes).To(BeEmpty())

		fresh := key("old", 2)
		p.joined(fresh, pool, now, now)
		Expect(full(fresh, 0)).To(BeFalse())
		for rounds := 0; p.servers[fresh] != nil; rounds++ {
			Expect(rounds).To(BeNumerically("<", 5))
			respond(fresh, 2<<rounds, 100*time.Millisecond)
		}
		Expect(changes).To(Equal([]string{"old2 start true", "old2 start false"}))
	})

	It("does not limit generations that have run for long when they join", func() {
		// Guards against an entry that starts under load and takes each agent for new whose
		// connection succeeds only after some seconds.
		load(4 * time.Second)
		for i, started := range []time.Time{{}, now.Add(-time.Hour), now.Add(-16 * time.Second)} {
			k := key("late", uint64(i))
			p.joined(k, pool, started, now)
			respond(k, 1, 100*time.Millisecond)
		}
		Expect(changes).To(BeEmpty())
	})

	It("remembers connected generations however many others leave", func() {
		// Guards against agents that are taken for new after a cut, because the memory of
		// generations was full.
		load(4 * time.Second)
		p.joined(old, pool, now.Add(-time.Hour), now)
		for i := range 3 * maxSeenGone {
			k := key("other", uint64(i))
			p.joined(k, pool, now, now)
			p.removed(k, now)
		}
		Expect(len(p.seen)).To(BeNumerically("<=", maxSeenGone+1))
		p.joined(old, pool, now, now)
		Expect(p.servers).To(BeEmpty())
	})

	It("reports the end of the limit of a server that leaves", func() {
		// Guards against log lines of a limit that never ends.
		load(4 * time.Second)
		p.joined(key("new", 1), pool, now, now)
		respond(key("new", 1), 1, 100*time.Millisecond)
		p.removed(key("new", 1), now)
		Expect(changes).To(Equal([]string{"new1 start true", "new1 start false"}))
	})

	It("forgets pools that nobody uses any more", func() {
		// Guards against memory that grows with each pool that has existed.
		load(time.Second)
		p.refresh(now.Add(time.Minute))
		Expect(p.pools).To(HaveLen(1))
		p.refresh(now.Add(time.Hour))
		Expect(p.pools).To(BeEmpty())
	})

	It("keeps the window of a server small while it responds later than the others", func() {
		// Guards against a slow new server that is flooded because it is idle.
		load(4 * time.Second)
		fresh := key("new", 1)
		p.joined(fresh, pool, now, now)
		for range 5 {
			respond(fresh, 2, 500*time.Millisecond)
			Expect(full(fresh, 2)).To(BeTrue())
			Expect(full(fresh, 1)).To(BeFalse())
		}
		now = now.Add(pace.StartRamp)
		Expect(p.refresh(now)).To(BeFalse())
		Expect(full(fresh, 15)).To(BeFalse())
	})

	It("counts the start from the first weights, and forgets it if nobody needs the server", func() {
		// Guards against engines that load for longer than a start counts, and against limits
		// of servers that others have used for long.
		load(4 * time.Second)
		loading, spare := key("loading", 1), key("spare", 1)
		p.joined(loading, pool, now, now)
		p.joined(spare, pool, now, now)
		now = now.Add(2 * pace.StartValidity)
		p.opened(loading, now)
		respond(loading, 1, 10*time.Millisecond)
		respond(spare, 1, 10*time.Millisecond)
		Expect(changes).To(Equal([]string{"loading1 start true"}))
	})

	It("limits a server from its first request after an ejection on, and narrows the window for errors", func() {
		// Guards against a wave of requests at the end of an ejection.
		load(4 * time.Second)
		p.ejected(old, now)
		now = now.Add(time.Minute)
		Expect(full(old, 0)).To(BeFalse())
		respond(old, 2, 100*time.Millisecond)
		Expect(full(old, 2)).To(BeFalse())
		p.finished(p.placed(old, pool, 4, slots, now), true, now)
		Expect(full(old, 2)).To(BeTrue())
	})
})
