package relay

import (
	"context"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/pause"
	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/watch"
)

var _ = Describe("The age of relayed rows", func() {
	config := Config{MaxPropagation: 400 * time.Millisecond, LongPollTimeout: 2 * time.Second}
	// exactness is how much older a row may seem to be, on a busy machine.
	const exactness = 2 * time.Second

	It("is known to an instance that waits for changes, and bounded by its last answer otherwise", func(ctx context.Context) {
		// Guards against bounds that an instance counts from the time at which it reads a row
		// through another one, or from the last of several changes that it has missed.
		tracker := func() *rowage.Tracker {
			pauses := pause.NewMonitor(clock.System{}, clock.Boot{}, nil)
			go pauses.Run(ctx)
			return rowage.NewTracker(pauses)
		}
		now := clock.Boot{}.Now
		c := newContent()
		c.put("a", nil, false)
		leaderCache := NewCache(config)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go NewServer(map[string]*Cache{"t": leaderCache}, func() bool { return false }).Run(ctx, ln)
		ignore := func(netip.AddrPort, error) {}
		leader := NewSource("t", &store{content: c}, leaderCache, func() Role { return Role{HasFollowers: true} }, ignore)
		leader.TrackAges(tracker())
		go watch.New(watch.Config{LongPollTimeout: config.LongPollTimeout}, leader, &recorder{}).Run(ctx)
		Eventually(func() bool { return leaderCache.fresh(true, time.Now()) }, 5*time.Second).Should(BeTrue())

		upstream := (&instance{ln: ln}).address()
		follower := NewSource("t", &store{content: newContent()}, NewCache(config), func() Role { return Role{Upstream: upstream} }, ignore)
		follower.TrackAges(tracker())
		rows, err := follower.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Rows).To(HaveLen(1))
		Expect(rows.Rows[0].WrittenAfter).To(BeZero())
		// next returns the next changed row.
		position := rows.Position()
		next := func() watch.Row {
			for {
				rows, err := follower.Changes(ctx, position, config.LongPollTimeout)
				Expect(err).NotTo(HaveOccurred())
				position = rows.Position()
				if len(rows.Rows) > 0 {
					return rows.Rows[len(rows.Rows)-1]
				}
			}
		}

		var written time.Time
		go func() {
			time.Sleep(3 * time.Second)
			written = now()
			c.put("b", nil, false)
		}()
		row := next()
		Expect(row.WrittenAfter).To(And(BeTemporally(">", written.Add(-exactness)), BeTemporally("<=", now())))

		missedAt := now()
		c.put("b", []byte("missed"), false)
		time.Sleep(time.Second)
		c.put("b", []byte("read"), false)
		time.Sleep(200 * time.Millisecond)
		row = next()
		Expect(string(row.Data)).To(Equal("read"))
		Expect(row.WrittenAfter).To(And(BeTemporally(">", missedAt.Add(-exactness)), BeTemporally("<=", missedAt)))
	}, NodeTimeout(20*time.Second))
})
