package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("Servers at the same address", func() {
	DescribeTable("get requests unless another one has started and written its row later",
		// Guards against sound requests that are refused after two servers that have crashed
		// and whose rows are still listed.
		func(later directory.Server, expected string) {
			g := New(Config{Clock: clock.NewFake(time.Unix(1000, 0)), Log: eventlog.Discard(), Retry: retry.Config{Window: time.Second}, Placement: placement.Config{Domain: "north"}})
			g.SetConfig(&serving.Config{
				Version: 1, Routes: []serving.Route{{Name: "r", Prefix: "/", Kind: serving.Idempotent, Targets: []serving.Target{{Service: "desk", Weight: 1}}}},
				Services: []serving.Service{{Name: "desk"}},
			})
			earlier := &directory.Server{ID: "earlier", Service: "desk", Domain: "north", Address: "10.0.0.1:80", StartUnixMilli: 2, Revision: 5, Slots: 6}
			later.ID, later.Service, later.Domain, later.Address, later.Slots, later.Draining = "later", "desk", "south", earlier.Address, 6, later.StartUnixMilli > 2
			far := &directory.Server{ID: "far", Service: "desk", Domain: "south", Address: "10.0.0.2:80", StartUnixMilli: 2, Revision: 5, Slots: 6}
			g.ReplaceServers([]*directory.Server{earlier, &later, far}, false)
			r := &request{gateway: g, ctx: context.Background(), http: httptest.NewRequest(http.MethodPost, "/x", nil), service: "desk"}
			r.table = g.table.Load()
			r.route = &r.table.Config().Routes[0]
			a, refusal := r.place(r.ctx, g.now())
			Expect(refusal).To(BeNil())
			Expect(a.lease.Server.ID).To(Equal(expected))
		},
		Entry("a later start with a newer row", directory.Server{StartUnixMilli: 3, Revision: 6}, "far"),
		Entry("a later start with an older row", directory.Server{StartUnixMilli: 3, Revision: 4}, "earlier"),
		Entry("a later start with a row of another era, which can't be compared", directory.Server{StartUnixMilli: 3, Era: 2, Revision: 6}, "earlier"),
		Entry("an earlier start with a newer row", directory.Server{StartUnixMilli: 1, Revision: 6}, "earlier"),
	)
})
