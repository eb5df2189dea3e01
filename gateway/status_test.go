package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("Agent status reports", func() {
	const address = "10.0.0.1:80"
	var g *Gateway
	listed := func() (ids []string) {
		g.UpdateServers(func(d *directory.Directory, now time.Time) {
			d.Expire(now)
			d.ForEach(func(s *directory.Server) { ids = append(ids, s.ID) })
		})
		return ids
	}
	report := func(start int64, version int) {
		g.handleStatus(peerlink.Status{Address: address, StartUnixMilli: start, Model: "m", Version: version})
	}
	var now *clock.Fake

	BeforeEach(func() {
		now = clock.NewFake(time.Unix(1000, 0))
		g = New(Config{Clock: now, Log: eventlog.Discard()})
		g.UpdateServers(func(d *directory.Directory, _ time.Time) {
			d.Put(&directory.Server{ID: "a", Service: "s", Address: address, StartUnixMilli: 5, Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}}})
		})
	})

	It("do not restore a server whose row has expired", func() {
		// Guards against requests to a stopped server. Its row expired while the store was
		// unreachable for this entry, a report of its agent on newer weights listed it
		// again, and it was never removed: a request reached it 4.5 s after it had
		// stopped.
		g.UpdateServers(func(d *directory.Directory, at time.Time) { d.Remove("a", true, at) })
		report(5, 2)
		Expect(listed()).To(ConsistOf("a"))
		now.Advance(directory.ExpiryGrace)
		Expect(listed()).To(BeEmpty())
	})

	It("update the weights before the row does", func() {
		report(5, 2)
		Expect(g.State().Engines).To(HaveKeyWithValue(ModelVersion{"m", 2}, 1))
	})

	It("close an incarnation that a later one has replaced", func() {
		// Guards against requests to incarnations that ended in a power failure and whose
		// rows have not expired yet.
		report(9, 1)
		Expect(g.State().Servers).To(HaveKeyWithValue(ServerGroup{"s", placement.Closed}, 1))
	})
})
