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

var _ = Describe("Reports of agents", func() {
	const address = "10.0.0.1:80"
	var g *Gateway
	listed := func() (ids []string) {
		g.UpdateServers(func(d *directory.Directory, now time.Time) {
			d.Expire(now)
			d.ForEach(func(s *directory.Server) { ids = append(ids, s.ID) })
		})
		return ids
	}
	report := func(born int64, version int) {
		g.takeStatus(peerlink.Status{Address: address, StartUnixMilli: born, Model: "m", Version: version})
	}
	var now *clock.Fake

	BeforeEach(func() {
		now = clock.NewFake(time.Unix(1000, 0))
		g = New(Config{Clock: now, Log: eventlog.Discard()})
		g.UpdateServers(func(d *directory.Directory, _ time.Time) {
			d.Put(&directory.Server{ID: "a", Service: "s", Address: address, StartUnixMilli: 5, Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}}})
		})
	})

	It("do not bring a server back whose row has lapsed", func() {
		// Guards against requests to a server that has left: its row went while the
		// store refused this entry, its agent told of newer weights, and it stayed
		// listed for good. A request reached it 4.5 s after it had left.
		g.UpdateServers(func(d *directory.Directory, at time.Time) { d.Remove("a", true, at) })
		report(5, 2)
		Expect(listed()).To(ConsistOf("a"))
		now.Advance(directory.ExpiryGrace)
		Expect(listed()).To(BeEmpty())
	})

	It("tell of newer weights before the row does", func() {
		report(5, 2)
		Expect(g.State().Engines).To(HaveKeyWithValue(ModelVersion{"m", 2}, 1))
	})

	It("close a start that a later one has replaced", func() {
		// Guards against requests to starts that ended in a loss of power and whose
		// rows have not lapsed yet.
		report(9, 1)
		Expect(g.State().Servers).To(HaveKeyWithValue(ServerGroup{"s", placement.Closed}, 1))
	})
})
