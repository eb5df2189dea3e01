package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("A request that tells parts apart whose crashes explain each other", func() {
	DescribeTable("is not placed on a server that is known to have ended",
		// Guards against requests that crash servers and come again because they told nothing.
		func(endsForGood bool, end func(g *Gateway, near *directory.Server)) {
			now := clock.NewFake(time.Unix(1000, 0))
			g := New(Config{Clock: now, Log: eventlog.Discard(), Retry: retry.Config{Window: time.Second}, Placement: placement.Config{Domain: "north"}})
			g.SetConfig(&serving.Config{
				Version: 1, Routes: []serving.Route{{Name: "r", Prefix: "/", Kind: serving.Idempotent, Targets: []serving.Target{{Service: "desk", Weight: 1}}}},
				Services: []serving.Service{{Name: "desk"}},
			})
			near := &directory.Server{ID: "near", Service: "desk", Domain: "north", Address: "10.0.0.1:80", StartUnixMilli: 1, Slots: 6}
			far := &directory.Server{ID: "far", Service: "desk", Domain: "south", Address: "10.0.0.2:80", StartUnixMilli: 1, Slots: 6}
			g.ReplaceServers([]*directory.Server{near, far}, false)
			r := &request{gateway: g, ctx: context.Background(), http: httptest.NewRequest(http.MethodPost, "/x", nil), info: RequestInfo{PromptParts: []string{"a"}}, service: "desk"}
			r.table = g.table.Load()
			r.route = &r.table.Config().Routes[0]
			placed := func() directory.Key {
				Expect(r.quarantineRefusal()).To(BeNil())
				a, refusal := r.place(r.ctx, g.now())
				Expect(refusal).To(BeNil())
				r.endAttempt(a, placement.Cancelled)
				return a.lease.Server.Key()
			}
			end(g, near)
			Expect(placed()).To(Equal(near.Key()))
			for i := range quarantineCrashes {
				parts := []model.Fingerprint{r.subjects().parts[0], model.FingerprintOf("", partService, []byte("b"))}
				g.suspects.parts.monitor.Crashed(g.now(), model.InstanceID(fmt.Sprint("crashed-", i)), 0, wire.CrashReport{InFlight: parts})
			}
			Expect(placed()).To(Equal(far.Key()))
			if endsForGood {
				return
			}
			// Guards against a server that only responses to such requests could show to be
			// alive. The rows of servers that have ended are gone by then.
			now.Advance(time.Minute)
			Expect(placed()).To(Equal(near.Key()))
		},
		Entry("its address refused a connection", false, func(g *Gateway, near *directory.Server) {
			g.suspects.attributor.Interrupted(g.now(), incarnationID(near.Key()), model.FingerprintOf("team", "other", nil))
			g.mu.Lock()
			defer g.mu.Unlock()
			g.recordServerEnd(near.Key(), signConnectionRefused)
		}),
		Entry("another entry has found its end", false, func(g *Gateway, near *directory.Server) {
			gossip := &peerlink.Gossip{}
			gossip.Parts.Suspects = []wire.Suspect{{Fingerprint: model.FingerprintOf("", partService, []byte("c")), Incidents: []wire.Incident{{Instance: incarnationID(near.Key())}}}}
			g.mergeSuspects(gossip, &peerlink.Gossip{})
		}),
		Entry("a later start has its address", true, func(g *Gateway, near *directory.Server) {
			g.UpdateServers(func(d *directory.Directory, _ time.Time) {
				d.Put(&directory.Server{ID: "later", Service: "desk", Domain: "north", Address: near.Address, StartUnixMilli: 2, Draining: true})
			})
		}),
	)
})
