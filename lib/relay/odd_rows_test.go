package relay

import (
	"context"
	"crypto/rand"
	"net"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/watch"
)

var _ = Describe("Relay of a table with odd rows", func() {
	// Guards against a follower that cannot read what another writer has left, and so
	// calls the store or stops following.
	It("passes them on as they are, with the other rows", func() {
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		content := newContent()
		config := Config{MaxPropagation: 400 * time.Millisecond, LongPollTimeout: 2 * time.Second}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		follow := func(role Role, source *store) (*Cache, *recorder) {
			cache, received := NewCache(config), &recorder{}
			s := NewSource("t", source, cache, func() Role { return role }, func(netip.AddrPort, error) {})
			go watch.New(watch.Config{LongPollTimeout: config.LongPollTimeout}, s, received).Run(ctx)
			return cache, received
		}
		leader, _ := follow(Role{HasFollowers: true}, &store{content: content})
		go NewServer(map[string]*Cache{"t": leader}, func() bool { return false }).Run(ctx, ln)
		Eventually(func() bool { return leader.fresh(true, time.Now()) }).Should(BeTrue())
		followerStore := &store{content: content}
		_, received := follow(Role{Upstream: ln.Addr().(*net.TCPAddr).AddrPort()}, followerStore)

		random := make([]byte, 64<<10)
		_, _ = rand.Read(random)
		odd := map[string]string{
			"": "no key", "nested": strings.Repeat("[", 32<<10) + strings.Repeat("]", 32<<10), "random": string(random), "\xff\x00": "\xff",
			strings.Repeat("k", 200): "{}", "msgpack": "\xdf\xff\xff\xff\xff", "deflate": strings.Repeat("\x00", 64<<10),
		}
		content.put("a", []byte("1"), false)
		for key, data := range odd {
			content.put(key, []byte(data), false)
		}
		content.put("b", []byte("2"), false)
		content.put("empty", nil, false)
		for key, data := range odd {
			Eventually(received.get, time.Second).WithArguments(key).Should(Equal(data))
		}
		Eventually(received.get).WithArguments("b").Should(Equal("2"))
		content.put("a", nil, true)
		Eventually(received.get).WithArguments("a").Should(BeEmpty())
		Expect(followerStore.callCount()).To(BeZero())
	})
})
