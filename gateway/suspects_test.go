package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("Signs of the end of a backend server", func() {
	start := time.Unix(1000, 0)
	content := model.FingerprintOf("team", "GET a/x", nil)
	listing := func(id string, born int64) *directory.Server {
		return &directory.Server{ID: id, Service: "desk", Address: "10.0.0.1:80", StartUnixMilli: born, Slots: 6}
	}
	var g *Gateway
	var now *clock.Fake
	crashes := func() int {
		n, _ := g.suspects.monitor.Crashes(now.Now(), content)
		return n
	}
	cut := func(s *directory.Server) {
		g.suspects.attributor.Interrupted(now.Now(), startID(s.Key()), content)
		g.suspects.starts[startID(s.Key())] = s.Key()
	}
	BeforeEach(func() {
		now = clock.NewFake(start)
		g = New(Config{Clock: now, Log: eventlog.Discard(), Retry: retry.Config{Window: time.Second}, Placement: placement.Config{Domain: "north"}})
		g.ReplaceServers([]*directory.Server{listing("a", 1)}, false)
		cut(listing("a", 1))
	})

	DescribeTable("attribute the connections that it cut",
		func(sign func(), expected int) {
			sign()
			Expect(crashes()).To(Equal(expected))
		},
		Entry("its row goes", func() {
			g.UpdateServers(func(d *directory.Directory, t time.Time) { d.Remove("a", false, t) })
		}, 1),
		Entry("its row goes as the store returns", func() {
			g.UpdateServers(func(d *directory.Directory, t time.Time) { d.Remove("a", true, t) })
		}, 0),
		Entry("another start has its address", func() {
			g.UpdateServers(func(d *directory.Directory, _ time.Time) { d.Put(listing("b", 2)) })
		}, 1),
		Entry("it starts again under its id", func() {
			g.UpdateServers(func(d *directory.Directory, _ time.Time) { d.Put(listing("a", 2)) })
		}, 1),
		Entry("its agent reports a later start", func() {
			g.takeStatus(peerlink.Status{Address: "10.0.0.1:80", StartUnixMilli: 2})
		}, 1),
		Entry("its agent reports the same start", func() {
			g.takeStatus(peerlink.Status{Address: "10.0.0.1:80", StartUnixMilli: 1})
		}, 0),
		Entry("its row changes", func() {
			g.UpdateServers(func(d *directory.Directory, _ time.Time) { d.Put(listing("a", 1)) })
		}, 0),
		Entry("its row goes much later", func() {
			now.Advance(time.Minute)
			g.UpdateServers(func(d *directory.Directory, t time.Time) { d.Remove("a", false, t) })
		}, 0),
	)

	It("are taken back by a report that is newer, and not by an older one", func() {
		// Guards against sound requests that are refused because an entry was cut off from
		// servers that went on.
		g.mu.Lock()
		g.ended(directory.Key{ID: "a", StartUnixMilli: 1}, endedRefuses)
		g.mu.Unlock()
		now.Advance(time.Second)
		g.takeStatus(peerlink.Status{Address: "10.0.0.1:80", StartUnixMilli: 1, AgeMicros: 2_000_000})
		Expect(crashes()).To(Equal(1))
		g.takeStatus(peerlink.Status{Address: "10.0.0.1:80", StartUnixMilli: 1, AgeMicros: 1000})
		Expect(crashes()).To(BeZero())
	})
})
