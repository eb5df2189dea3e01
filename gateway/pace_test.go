package gateway

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
)

var _ = Describe("A server that is listed", func() {
	// Guards against limits that no operator can see, and against limits of the servers that
	// an entry finds when it starts.
	It("is limited, with log lines and in the state, if it starts under load", func() {
		var logs bytes.Buffer
		fake := clock.NewFake(time.Unix(1000, 0))
		g := New(Config{Clock: fake, Log: eventlog.OpenPlain(&logs, fake), Placement: placement.Config{Domain: "north"}})
		servers := []*directory.Server{{ID: "a", StartUnixMilli: 1, Service: "desk", Address: "a", Domain: "north", Slots: 6}}
		g.ReplaceServers(servers, false)
		load := func(d time.Duration) {
			for ; d > 0; d -= 50 * time.Millisecond {
				lease, refusal := g.pick(placement.Request{Service: "desk"}, g.now())
				Expect(refusal).To(BeNil())
				fake.Advance(20 * time.Millisecond)
				g.picker.Done(lease, placement.Answered, g.now())
				fake.Advance(30 * time.Millisecond)
			}
		}
		load(4 * time.Second)
		Expect(g.State().ConcurrencyLimited).To(BeEmpty())
		g.ReplaceServers(append(servers, &directory.Server{ID: "b", StartUnixMilli: 1002_000, Service: "desk", Address: "b", Domain: "north", Slots: 6}), false)
		load(300 * time.Millisecond)
		Expect(g.State().ConcurrencyLimited).To(Equal(map[string]int{"desk": 1}))
		Expect(logs.String()).To(MatchRegexp(`event=7216 .*server=b born=1002000 service=desk reason=start`))
		load(5 * time.Second)
		Expect(g.State().ConcurrencyLimited).To(BeEmpty())
		Expect(logs.String()).To(MatchRegexp(`event=7217 .*server=b born=1002000 service=desk reason=start after_ms=[1-9]`))
		Expect(logs.String()).NotTo(ContainSubstring("server=a"))
	})
})
