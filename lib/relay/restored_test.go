package relay

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/watch"
)

var _ = Describe("Relay of a table of a store that is restored", func() {
	config := Config{MaxPropagation: 400 * time.Millisecond, LongPollTimeout: 2 * time.Second}
	now := time.Unix(1000, 0)
	ignore := func(netip.AddrPort, error) {}
	era := func(era, revision int64) watch.Position { return watch.Position{Era: era, Revision: revision} }

	It("puts the restored table into the cache, with a history of its own", func() {
		// Guards against deletions of the lost history that followers of the new one are told, and
		// against followers that read the changes since a state that was lost.
		c := NewCache(config)
		c.replace(watch.Rows{Era: 1, Revision: 8, Rows: []watch.Row{{Key: "a", Revision: 2}, {Key: "lost", Revision: 8}}}, true, now)
		c.apply(era(1, 8), watch.Rows{Era: 1, Revision: 9, Rows: []watch.Row{{Key: "gone", Deleted: true, Revision: 9}}}, true, now)
		_, changed := c.changesSince(era(1, 9))
		c.apply(era(1, 9), watch.Rows{Era: 2, Revision: 10, Rows: []watch.Row{{Key: "other", Revision: 10}}}, true, now)
		Expect(c.known()).To(Equal(era(1, 9)), "no changes since then")
		c.replace(watch.Rows{Era: 2, Revision: 5, Rows: []watch.Row{{Key: "a", Revision: 2}}}, true, now)
		Expect(changed).To(BeClosed())
		Expect(c.deletedCount).To(BeZero())
		all, _ := c.changesSince(era(2, -1))
		Expect(all.Rows).To(ConsistOf(row{Key: "a", Revision: 2}))
		for _, since := range []watch.Position{era(1, 9), era(1, 5), era(2, 4)} {
			a, _ := c.changesSince(since)
			Expect(a.HistoryLost).To(BeTrue(), "%v", since)
		}
		for _, since := range []watch.Position{era(2, 6), era(3, 1), era(3, -1)} {
			a, _ := c.changesSince(since)
			Expect(a.Stale).To(BeTrue(), "%v", since)
		}
		c.replace(watch.Rows{Era: 1, Revision: 99, Rows: []watch.Row{{Key: "lost", Revision: 8}}}, true, now)
		c.apply(era(2, 5), watch.Rows{Era: 1, Revision: 99}, true, now)
		Expect(c.known()).To(Equal(era(2, 5)))
	})

	It("answers an instance that knows no eras by revision alone", func() {
		// Guards against instances of an earlier release that read the whole table with each query.
		c := NewCache(config)
		c.replace(watch.Rows{Era: 3, Revision: 5, Rows: []watch.Row{{Key: "a", Revision: 5}}}, true, now)
		since := (&query{Since: 4}).since(c.known())
		Expect(since).To(Equal(era(3, 4)))
		Expect((&query{Since: 4, NextEra: 1}).since(c.known())).To(Equal(era(0, 4)))
	})

	// serve answers each query with a message.
	serve := func(a answer) netip.AddrPort {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					decoder := msgstream.NewDecoder(conn, bufferSize, maxQuerySize)
					var q query
					for decoder.Decode(&q) == nil && msgstream.Encode(conn, &a) == nil {
					}
				}()
			}
		}()
		return ln.Addr().(*net.TCPAddr).AddrPort()
	}

	It("goes to the store if the instance followed knows no eras", func() {
		// Guards against an instance of an earlier release that holds the lost history.
		content := newContent()
		content.put("a", []byte("restored"), false)
		content.restore(1)
		upstream := serve(answer{Revision: 9, Rows: []row{{Key: "a", Data: []byte("lost"), Revision: 9}}})
		cache := NewCache(config)
		cache.replace(watch.Rows{Era: 1, Revision: 1}, true, now)
		source := NewSource("t", &store{content: content}, cache, func() Role { return Role{Upstream: upstream} }, ignore)
		rows, err := source.Snapshot(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Position()).To(Equal(era(1, 1)))
		Expect(rows.Rows[0].Data).To(Equal([]byte("restored")))
	})

	It("makes all entries agree, whichever of them reads of the restore first", func() {
		// Guards against entries that pass rows of the lost history on to each other, and against
		// reads of the store that grow with the number of entries.
		content := newContent()
		for range 20 {
			content.put("a", []byte("old"), false)
		}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		var instances []*instance
		for i := range 4 {
			n := &instance{store: &store{content: content}, cache: NewCache(config), received: &recorder{}}
			var err error
			n.ln, err = net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			role := func() Role { return Role{HasFollowers: true} }
			if i > 0 {
				upstream := instances[0].address()
				role = func() Role { return Role{Upstream: upstream} }
			}
			instances = append(instances, n)
			go NewServer(map[string]*Cache{"t": n.cache}, n.stopping.Load).Run(ctx, n.ln)
			watchConfig := watch.Config{LongPollTimeout: config.LongPollTimeout, RestoreSettle: 300 * time.Millisecond}
			go watch.New(watchConfig, NewSource("t", n.store, n.cache, role, n.countPathChange), n.received).Run(ctx)
			Eventually(func() string { return n.received.get("a") }).Should(Equal("old"))
		}
		for round, value := range []string{"first", "second", "third"} {
			leaderCut := round == 1
			instances[0].store.setFaults(false, leaderCut)
			for range 5 {
				content.put("lost", []byte(value), false)
			}
			Eventually(instances[1].received.get).WithArguments("lost").Should(Equal(value))
			content.restore(15)
			for range round * 10 {
				content.put("b", []byte(value), false)
			}
			content.put("a", []byte(value), false)
			for i, n := range instances {
				if i == 0 && leaderCut {
					continue
				}
				Eventually(n.received.get, 2*time.Second).WithArguments("a").Should(Equal(value), "entry %d, round %d", i, round)
				Expect(n.received.get("lost")).To(BeEmpty())
			}
			if leaderCut {
				instances[0].store.setFaults(false, false)
				Eventually(instances[0].received.get, 2*time.Second).WithArguments("a").Should(Equal(value))
				continue
			}
			if round == 0 {
				for _, n := range instances[1:] {
					Expect(n.store.callCount()).To(BeZero(), "the instance that they follow reads the store for them")
				}
			}
		}
	})

	It("lets a reader read the restored table through another instance, and not from the store", func() {
		// Guards against all agents of a region that read the store after a restore, and against
		// rows of the lost history that they keep.
		content := newContent()
		content.put("a", []byte("old"), false)
		content.put("lost", []byte("x"), false)
		cache := NewCache(config)
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go NewServer(map[string]*Cache{"t": cache}, func() bool { return false }).Run(ctx, ln)
		fill := func() { cache.replace(content.snapshot(), true, time.Now()) }
		fill()
		direct := &store{content: content}
		source := ln.Addr().(*net.TCPAddr).AddrPort()
		reader := NewReader("t", direct, func() []netip.AddrPort { return []netip.AddrPort{source} })
		read := func() watch.Rows {
			rows, err := reader.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			return rows
		}
		Expect(read().Rows).To(HaveLen(2))
		content.restore(1)
		fill()
		rows := read()
		Expect(rows.Position()).To(Equal(era(1, 1)))
		Expect(rows.Rows).To(HaveLen(1))
		Expect(direct.callCount()).To(BeZero())

		By("knowing a later era than the instance")
		content.restore(1)
		content.put("a", bytes.Repeat([]byte("new"), 3), false)
		direct.setFaults(false, false)
		reader.sources = func() []netip.AddrPort { return nil }
		Expect(read().Position()).To(Equal(era(2, 2)))
		reader.sources = func() []netip.AddrPort { return []netip.AddrPort{source} }
		Expect(read().Position()).To(Equal(era(2, 2)))
		Expect(direct.callCount()).To(Equal(2))
	})
})
