package relay

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// known is what one instance has learned.
type known struct {
	mu        sync.Mutex
	rows      map[string]string
	recovered bool
	lost      int
}

func (k *known) Replace(rows watch.Rows, recovered bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rows = make(map[string]string)
	k.take(rows, recovered)
}

func (k *known) Apply(rows watch.Rows, recovered bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.take(rows, recovered)
}

func (k *known) take(rows watch.Rows, recovered bool) {
	k.recovered = k.recovered || recovered
	for _, r := range rows.Rows {
		if r.Deleted {
			delete(k.rows, r.Key)
			continue
		}
		k.rows[r.Key] = string(r.Data)
	}
}

func (k *known) Lost(error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lost++
}

func (k *known) get(key string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rows[key]
}

func (k *known) afterOutage() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.recovered
}

// instance follows a table and serves it to others.
type instance struct {
	store    *store
	cache    *Cache
	ln       net.Listener
	stopping atomic.Bool
	known    *known
	paths    atomic.Int64
}

func (i *instance) onPath(netip.AddrPort, error) { i.paths.Add(1) }

func (i *instance) address() netip.AddrPort {
	return i.ln.Addr().(*net.TCPAddr).AddrPort()
}

var _ = Describe("Relay of a table", func() {
	const bound = 400 * time.Millisecond
	config := Config{MaxPropagation: bound, Wait: 2 * time.Second}
	var (
		content *content
		ctx     context.Context
	)
	// start runs an instance that follows another one, or the store if that is nil.
	start := func(leader *instance) *instance {
		i := &instance{store: &store{content: content}, cache: NewCache(config), known: &known{}}
		var err error
		i.ln, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		choose := func() Role { return Role{HasFollowers: true} }
		if leader != nil {
			choose = func() Role { return Role{Upstream: leader.address()} }
		}
		go NewServer(map[string]*Cache{"t": i.cache}, i.stopping.Load).Run(ctx, i.ln)
		go watch.New(watch.Config{LongPollTimeout: config.Wait}, NewSource("t", i.store, i.cache, choose, i.onPath), i.known).Run(ctx)
		Eventually(func() int64 {
			i.cache.mu.Lock()
			defer i.cache.mu.Unlock()
			return i.cache.revision
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

	It("lets one instance read the store for all", func() {
		// Guards against calls of the store that grow with the number of entries, and
		// against copies of a large configuration for each of them.
		leader := start(nil)
		followers := []*instance{start(leader), start(leader), start(leader)}
		large := bytes.Repeat([]byte("route "), 50_000)
		content.put("config", large, false)
		content.put("a", nil, true)
		for _, f := range followers {
			Eventually(f.known.get).WithArguments("config").Should(Equal(string(large)))
			Eventually(f.known.get).WithArguments("a").Should(BeEmpty())
			Expect(f.store.count()).To(BeZero())
			Expect(f.known.afterOutage()).To(BeFalse())
		}
	})

	It("is not followed any more when the instance has lost the store", func() {
		// Guards against followers that reach the store and are behind it because the
		// instance that they follow is cut off.
		leader := start(nil)
		follower := start(leader)
		leader.store.set(true, false)
		content.put("config", []byte("2"), false)
		Eventually(follower.known.get, bound).WithArguments("config").Should(Equal("2"))
		Expect(follower.known.lost).To(BeZero())
		Expect(follower.paths.Load()).To(Equal(int64(2)))
		Expect(follower.known.afterOutage()).To(BeFalse(), "a relay that was lost is no outage of the store")
	})

	It("is not followed any more when the instance falls silent or leaves", func() {
		// Guards against followers that wait on a connection that delivers nothing
		// more.
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		follower := start(&instance{ln: silent})
		Expect(follower.known.get("a")).To(Equal("1"))

		leader := start(nil)
		other := start(leader)
		leader.stopping.Store(true)
		content.put("config", []byte("2"), false)
		Eventually(other.known.get, bound).WithArguments("config").Should(Equal("2"))
	})

	It("tells that rows changed after an outage of the store", func() {
		// Guards against servers that followers drop because their rows lapsed while
		// the store was away.
		leader := start(nil)
		follower := start(leader)
		leader.store.set(false, true)
		content.put("b", []byte("2"), false)
		Eventually(func() int { leader.known.mu.Lock(); defer leader.known.mu.Unlock(); return leader.known.lost }, 2*time.Second).ShouldNot(BeZero())
		content.put("a", nil, true)
		leader.store.set(false, false)
		Eventually(follower.known.get, 2*time.Second).WithArguments("a").Should(BeEmpty())
		a, _ := leader.cache.since(1)
		Expect(a.AfterOutage).To(BeTrue())
	})

	It("never goes back to an older revision", func() {
		// Guards against keys that were withdrawn and come back with a stale read.
		c := NewCache(config)
		now := time.Unix(1000, 0)
		c.replace(watch.Rows{Revision: 7, Rows: []watch.Row{{Key: "new", Revision: 7}}}, true, now)
		c.replace(watch.Rows{Revision: 5, Rows: []watch.Row{{Key: "old", Revision: 5}}}, true, now)
		c.apply(5, watch.Rows{Revision: 9, Rows: []watch.Row{{Key: "old", Revision: 9}}}, true, now)
		a, _ := c.since(-1)
		Expect(a.Revision).To(Equal(int64(7)))
		Expect(a.Rows).To(HaveLen(1))
		Expect(a.Rows[0].Key).To(Equal("new"))
		behind, _ := c.since(8)
		Expect(behind.Stale).To(BeTrue(), "the asker knows more")
		lost, _ := c.since(3)
		Expect(lost.HistoryLost).To(BeTrue())
	})

	It("bounds what it remembers of deleted rows", func() {
		c := NewCache(config)
		now := time.Unix(1000, 0)
		c.replace(watch.Rows{Revision: 1}, true, now)
		for i := int64(2); i < maxDeleted+10; i++ {
			c.apply(i-1, watch.Rows{Revision: i, Rows: []watch.Row{{Key: string(rune(i)), Deleted: true, Revision: i}}}, true, now)
		}
		Expect(len(c.rows)).To(BeNumerically("<=", maxDeleted))
		lost, _ := c.since(2)
		Expect(lost.HistoryLost).To(BeTrue())
	})

	It("lets changes gather between two calls of the store, and calls again at once when there were none", func() {
		// Guards against a call of the store for each row that a rollout changes.
		const gather = 150 * time.Millisecond
		i := &store{content: content}
		s := NewSource("t", i, NewCache(Config{MaxPropagation: bound, Wait: time.Second, BatchDelay: gather}), func() Role { return Role{} }, func(netip.AddrPort, error) {})
		_, err := s.Changes(ctx, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Changes(ctx, 1, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Changes(ctx, 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(i.calls[1].Sub(i.calls[0])).To(BeNumerically(">=", gather))
		Expect(i.calls[2].Sub(i.calls[1])).To(BeNumerically("<", gather))
	})

	It("is worth it for many instances only", func() {
		// Guards against a small region that makes more calls of the store than before.
		c := Config{MaxPropagation: 4 * time.Second, Wait: 7 * time.Second}
		Expect(c.SavesStoreCalls(7)).To(BeFalse())
		Expect(c.SavesStoreCalls(8)).To(BeTrue())
	})

	It("gives instances that read now and then the changes only, and the store where none answers", func() {
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
		Expect(own.count()).To(BeZero())
		leader.stopping.Store(true)
		content.put("c", []byte("3"), false)
		rows, err = r.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Rows).To(HaveLen(2))
		Expect(own.count()).To(Equal(1))
	})
})
