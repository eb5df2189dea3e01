package relay

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// instance follows a table and serves it to others.
type instance struct {
	store       *store
	cache       *Cache
	ln          net.Listener
	stopping    atomic.Bool
	received    *recorder
	pathChanges atomic.Int64
}

func (i *instance) countPathChange(netip.AddrPort, error) { i.pathChanges.Add(1) }

func (i *instance) address() netip.AddrPort {
	return i.ln.Addr().(*net.TCPAddr).AddrPort()
}

var _ = Describe("Relay of a table", func() {
	const bound = 400 * time.Millisecond
	config := Config{MaxPropagation: bound, LongPollTimeout: 2 * time.Second}
	var (
		content *content
		ctx     context.Context
	)
	// start runs an instance that follows leader, or reads the store if leader
	// is nil.
	start := func(leader *instance) *instance {
		i := &instance{store: &store{content: content}, cache: NewCache(config), received: &recorder{}}
		var err error
		i.ln, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		choose := func() Role { return Role{HasFollowers: true} }
		if leader != nil {
			choose = func() Role { return Role{Upstream: leader.address()} }
		}
		go NewServer(map[string]*Cache{"t": i.cache}, i.stopping.Load).Run(ctx, i.ln)
		go watch.New(watch.Config{LongPollTimeout: config.LongPollTimeout}, NewSource("t", i.store, i.cache, choose, i.countPathChange), i.received).Run(ctx)
		Eventually(func() int64 {
			i.cache.mu.Lock()
			defer i.cache.mu.Unlock()
			return i.cache.position.Revision
		}).Should(BeNumerically(">=", 0))
		return i
	}
	BeforeEach(func() {
		content = newContent()
		content.put("a", []byte("1"), false)
		var stop context.CancelFunc
		ctx, stop = context.WithCancel(context.Background())
		DeferCleanup(stop)
	})

	// Guards against calls to the store that grow with the number of entries, and
	// against reading a large configuration from the store for each of them.
	It("lets one instance read the store for all", func() {
		leader := start(nil)
		followers := []*instance{start(leader), start(leader), start(leader)}
		large := bytes.Repeat([]byte("route "), 50_000)
		content.put("config", large, false)
		content.put("a", nil, true)
		for _, f := range followers {
			Eventually(f.received.get).WithArguments("config").Should(Equal(string(large)))
			Eventually(f.received.get).WithArguments("a").Should(BeEmpty())
			Expect(f.store.callCount()).To(BeZero())
			Expect(f.received.afterOutage()).To(BeFalse())
		}
	})

	// Guards against followers that can reach the store but are behind it because
	// the instance that they follow cannot.
	It("stops following an instance that has lost the store", func() {
		leader := start(nil)
		follower := start(leader)
		leader.store.setFaults(true, false)
		content.put("config", []byte("2"), false)
		Eventually(follower.received.get, bound).WithArguments("config").Should(Equal("2"))
		Expect(follower.received.lost).To(BeZero())
		Expect(follower.pathChanges.Load()).To(Equal(int64(2)))
		Expect(follower.received.afterOutage()).To(BeFalse(), "the loss of the relaying instance is not an outage of the store")
	})

	// Guards against followers that wait on a connection that no longer delivers
	// anything.
	It("stops following an instance that is silent or stopping", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		follower := start(&instance{ln: silent})
		Expect(follower.received.get("a")).To(Equal("1"))

		leader := start(nil)
		other := start(leader)
		leader.stopping.Store(true)
		content.put("config", []byte("2"), false)
		Eventually(other.received.get, bound).WithArguments("config").Should(Equal("2"))
	})

	// Guards against followers that drop servers whose rows expired during an outage
	// of the store.
	It("reports that rows changed after an outage of the store", func() {
		leader := start(nil)
		follower := start(leader)
		leader.store.setFaults(false, true)
		content.put("b", []byte("2"), false)
		Eventually(func() int { leader.received.mu.Lock(); defer leader.received.mu.Unlock(); return leader.received.lost }, 2*time.Second).ShouldNot(BeZero())
		content.put("a", nil, true)
		leader.store.setFaults(false, false)
		Eventually(follower.received.get, 2*time.Second).WithArguments("a").Should(BeEmpty())
		a, _ := leader.cache.changesSince(at(1))
		Expect(a.AfterOutage).To(BeTrue())
	})

	// Guards against a server that left after an outage and stays in use where its row is read
	// through another instance.
	It("tells rows that were deleted during an outage from those deleted later", func() {
		now := time.Unix(1000, 0)
		leader, next := NewCache(config), NewCache(config)
		relayed := func(from *Cache, since int64) watch.Rows {
			a, _ := from.changesSince(at(since))
			rows, err := a.rows()
			Expect(err).NotTo(HaveOccurred())
			return rows
		}
		leader.replace(watch.Rows{Revision: 2, Rows: []watch.Row{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}}, true, now)
		next.replace(relayed(leader, -1), false, now)
		leader.apply(at(2), watch.Rows{Revision: 3, AfterOutage: true, Rows: []watch.Row{{Key: "a", Deleted: true, Revision: 3}}}, true, now)
		leader.apply(at(3), watch.Rows{Revision: 4, Rows: []watch.Row{{Key: "b", Deleted: true, Revision: 4}}}, true, now)
		next.apply(at(2), relayed(leader, 2), false, now)
		for _, c := range []*Cache{leader, next} {
			rows := relayed(c, 2)
			Expect(rows.AfterOutage && rows.Relayed).To(BeTrue())
			Expect(rows.OutageEnd).To(Equal(int64(3)))
			Expect(relayed(c, 3).AfterOutage).To(BeFalse())
		}
	})

	// Guards against followers that each read the whole table because the instance that they
	// follow has read it in full.
	It("tells followers the changes that a full read shows", func() {
		c := NewCache(config)
		now := time.Unix(1000, 0)
		c.replace(watch.Rows{Revision: 3, Rows: []watch.Row{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}, {Key: "c", Revision: 3}}}, true, now)
		c.replace(watch.Rows{Revision: 9, AfterOutage: true, Rows: []watch.Row{{Key: "a", Revision: 1}, {Key: "c", Revision: 7}}}, true, now)
		a, _ := c.changesSince(at(3))
		Expect(a.HistoryLost).To(BeFalse())
		Expect(a.Rows).To(ConsistOf(row{Key: "c", Revision: 7}, row{Key: "b", Deleted: true, Revision: 9}))
		Expect(a.AfterOutage).To(BeTrue())
		Expect(a.OutageEnd).To(Equal(int64(9)), "b may have expired")
		all, _ := c.changesSince(at(-1))
		Expect(all.Rows).To(ConsistOf(row{Key: "a", Revision: 1}, row{Key: "c", Revision: 7}))
		before, _ := c.changesSince(at(2))
		Expect(before.HistoryLost).To(BeTrue(), "unknown before the first read")
		c.apply(at(9), watch.Rows{Revision: 10, Rows: []watch.Row{{Key: "b", Revision: 10}}}, true, now)
		again, _ := c.changesSince(at(3))
		Expect(again.Rows).To(ConsistOf(row{Key: "c", Revision: 7}, row{Key: "b", Revision: 10}))
		Expect(c.deletedCount).To(BeZero())
	})

	// Guards against a full read that is repeated through an instance which is behind.
	It("reads the store in full if the instance followed is behind what was delivered", func() {
		leader := start(nil)
		content.put("b", []byte("2"), false)
		Eventually(leader.received.get).WithArguments("b").Should(Equal("2"))
		leader.store.setFaults(true, false)
		content.put("c", []byte("3"), false)
		direct := &store{content: content}
		role := Role{}
		source := NewSource("t", direct, NewCache(config), func() Role { return role }, func(netip.AddrPort, error) {})
		rows, err := source.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		role.Upstream = leader.address()
		again, err := source.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Revision).To(Equal(rows.Revision))
	})

	// Guards against deleted keys that reappear with a stale read.
	It("never returns to an older revision", func() {
		c := NewCache(config)
		now := time.Unix(1000, 0)
		c.replace(watch.Rows{Revision: 7, Rows: []watch.Row{{Key: "new", Revision: 7}}}, true, now)
		c.replace(watch.Rows{Revision: 5, Rows: []watch.Row{{Key: "old", Revision: 5}}}, true, now)
		c.apply(at(5), watch.Rows{Revision: 9, Rows: []watch.Row{{Key: "old", Revision: 9}}}, true, now)
		a, _ := c.changesSince(at(-1))
		Expect(a.Revision).To(Equal(int64(7)))
		Expect(a.Rows).To(HaveLen(1))
		Expect(a.Rows[0].Key).To(Equal("new"))
		behind, _ := c.changesSince(at(8))
		Expect(behind.Stale).To(BeTrue(), "the follower is ahead")
		lost, _ := c.changesSince(at(3))
		Expect(lost.HistoryLost).To(BeTrue())
	})

	It("limits the number of deleted rows that it keeps", func() {
		c := NewCache(config)
		now := time.Unix(1000, 0)
		c.replace(watch.Rows{Revision: 1}, true, now)
		for i := int64(2); i < maxDeletedRows+10; i++ {
			c.apply(at(i-1), watch.Rows{Revision: i, Rows: []watch.Row{{Key: string(rune(i)), Deleted: true, Revision: i}}}, true, now)
		}
		Expect(len(c.rows)).To(BeNumerically("<=", maxDeletedRows))
		lost, _ := c.changesSince(at(2))
		Expect(lost.HistoryLost).To(BeTrue())
	})

	// Guards against a long poll of the store by each instance of a region that starts:
	// they learn of each other from the table that they have just read.
	It("does not read the store twice if another instance becomes known after the start", func() {
		leader := start(nil)
		st := &store{content: content}
		var known atomic.Bool
		role := func() Role {
			if known.Load() {
				return Role{Upstream: leader.address()}
			}
			return Role{}
		}
		received := &recorder{}
		s := NewSource("t", st, NewCache(Config{MaxPropagation: 4 * bound, LongPollTimeout: time.Second, BatchDelay: bound}), role, func(netip.AddrPort, error) {})
		time.AfterFunc(bound/4, func() { known.Store(true) })
		go watch.New(watch.Config{LongPollTimeout: time.Second}, s, received).Run(ctx)
		Eventually(known.Load).Should(BeTrue())
		content.put("b", []byte("2"), false)
		Eventually(received.get, 2*bound).WithArguments("b").Should(Equal("2"))
		Expect(st.callCount()).To(Equal(1))
	})

	It("follows another instance that becomes known while changes are collected", func() {
		leader := start(nil)
		st := &store{content: content}
		var known atomic.Bool
		role := func() Role {
			if known.Load() {
				return Role{Upstream: leader.address()}
			}
			return Role{}
		}
		s := NewSource("t", st, NewCache(Config{MaxPropagation: bound, LongPollTimeout: time.Second, BatchDelay: bound / 4}), role, func(netip.AddrPort, error) {})
		rows, err := s.Changes(ctx, at(0), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Rows).To(HaveLen(1))
		known.Store(true)
		content.put("b", []byte("2"), false)
		rows, err = s.Changes(ctx, at(1), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Rows).To(HaveLen(1))
		Expect(st.callCount()).To(Equal(1))
	})

	// Guards against an entry that is ready and refuses requests because it has not read the
	// servers that register as it starts.
	It("reads what is written soon after a start into an empty table at once", func() {
		empty := newContent()
		st := &store{content: empty}
		received := &recorder{}
		s := NewSource("t", st, NewCache(Config{MaxPropagation: 10 * bound, LongPollTimeout: time.Second}), func() Role { return Role{} }, func(netip.AddrPort, error) {})
		go watch.New(watch.Config{LongPollTimeout: time.Second}, s, received).Run(ctx)
		Eventually(st.callCount).Should(Equal(2))
		empty.put("a", []byte("1"), false)
		Eventually(received.get, bound).WithArguments("a").Should(Equal("1"))
	})

	// Guards against instances that start together, long-poll the store until nothing has
	// changed for seconds, and then all find the one to follow behind.
	It("stops waiting for the store when the role becomes known", func() {
		st := &store{content: content}
		leader := start(nil)
		var role atomic.Pointer[Role]
		role.Store(&Role{})
		s := NewSource("t", st, NewCache(config), func() Role { return *role.Load() }, func(netip.AddrPort, error) {})
		time.AfterFunc(bound/2, func() { role.Store(&Role{Upstream: leader.address()}) })
		time.AfterFunc(bound, func() { content.put("b", []byte("2"), false) })
		started := time.Now()
		rows, err := s.Changes(ctx, at(1), 10*bound)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Rows).To(BeEmpty())
		Expect(time.Since(started)).To(BeNumerically("<", bound))
		Expect(st.callCount()).To(Equal(1))
		rows, err = s.Changes(ctx, at(1), 10*bound)
		Expect(err).NotTo(HaveOccurred())
		for len(rows.Rows) == 0 {
			rows, err = s.Changes(ctx, at(1), 10*bound)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(st.callCount()).To(Equal(1))

		first := &store{content: content}
		role.Store(&Role{})
		cache := NewCache(config)
		s = NewSource("t", first, cache, func() Role { return *role.Load() }, func(netip.AddrPort, error) {})
		time.AfterFunc(bound/2, func() { role.Store(&Role{HasFollowers: true}) })
		_, err = s.Changes(ctx, at(2), 10*bound)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.callCount()).To(Equal(2))
	})

	// Guards against an instance without others that learns of changes late.
	It("reads the store soon after its start if no other instance becomes known", func() {
		st := &store{content: content}
		s := NewSource("t", st, NewCache(config), func() Role { return Role{} }, func(netip.AddrPort, error) {})
		started := time.Now()
		_, err := s.Changes(ctx, at(0), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", bound/2))
		Expect(st.callCount()).To(Equal(1))
	})

	// Guards against a call to the store for each row that a rollout changes.
	It("delays the next call to the store after changes, but not if there were none", func() {
		const batchDelay = 150 * time.Millisecond
		st := &store{content: content}
		s := NewSource("t", st, NewCache(Config{MaxPropagation: bound, LongPollTimeout: time.Second, BatchDelay: batchDelay}), func() Role { return Role{} }, func(netip.AddrPort, error) {})
		_, err := s.Changes(ctx, at(0), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Changes(ctx, at(1), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Changes(ctx, at(1), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(st.calls[1].Sub(st.calls[0])).To(BeNumerically(">=", batchDelay))
		Expect(st.calls[2].Sub(st.calls[1])).To(BeNumerically("<", batchDelay))
	})

	// Guards against a list of servers that is the later in force the more of its changes were
	// missed: each answer of the store holds a limited number of them.
	It("does not delay the next call to the store if further changes may wait", func() {
		const changes, limit, batchDelay = 10, 3, 150 * time.Millisecond
		for i := range changes {
			content.put(strconv.Itoa(i), []byte("1"), false)
		}
		st := &store{content: content, limit: limit}
		s := NewSource("t", st, NewCache(Config{MaxPropagation: bound, LongPollTimeout: time.Second, BatchDelay: batchDelay}), func() Role { return Role{} }, func(netip.AddrPort, error) {})
		for since := int64(1); since < changes+1; {
			rows, err := s.Changes(ctx, at(since), 0)
			Expect(err).NotTo(HaveOccurred())
			since = rows.Revision
		}
		Expect(st.calls).To(HaveLen(changes/limit + 1))
		Expect(st.calls[changes/limit].Sub(st.calls[0])).To(BeNumerically("<", batchDelay))
		_, err := s.Changes(ctx, at(changes+1), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(st.calls[changes/limit+1].Sub(st.calls[changes/limit])).To(BeNumerically(">=", batchDelay))
	})

	// Guards against more calls to the store in a small region than without a relay.
	It("saves calls to the store only if there are many instances", func() {
		c := Config{MaxPropagation: 4 * time.Second, LongPollTimeout: 7 * time.Second}
		Expect(c.SavesStoreCalls(7)).To(BeFalse())
		Expect(c.SavesStoreCalls(8)).To(BeTrue())
	})

	It("returns only changes to occasional readers, which read the store if no instance answers", func() {
		leader := start(nil)
		own := &store{content: content}
		r := NewReader("t", own, func() []netip.AddrPort { return []netip.AddrPort{leader.address()} })
		rows, err := r.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Rows).To(HaveLen(1))
		content.put("b", []byte("2"), false)
		content.put("a", nil, true)
		Eventually(func() string {
			rows, err := r.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			return rows.Rows[0].Key
		}).Should(Equal("b"))
		Expect(own.callCount()).To(BeZero())
		leader.stopping.Store(true)
		content.put("c", []byte("3"), false)
		rows, err = r.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Rows).To(HaveLen(2))
		Expect(own.callCount()).To(Equal(1))
	})
})
