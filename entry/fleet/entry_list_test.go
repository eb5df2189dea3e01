package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("Lists of entries", func() {
	now := time.Unix(1000, 0)
	location := model.Location{Region: "kigali", FailureDomain: "kigali"}
	var (
		f    *Fleet
		sent map[model.InstanceID]int
	)

	connect := func(id member.ConnID, name model.InstanceID, address string) {
		hello := wire.Hello{Role: wire.RoleAgent, Pool: "drafting", Identity: model.Identity{Instance: name, Generation: 1, Location: location, Address: address}}
		_, err := f.view.Connected(now, id, hello)
		Expect(err).NotTo(HaveOccurred())
		f.conns[id] = &connection{id: id, hello: hello, send: func(m wire.Message) error {
			if list, ok := m.(*wire.EntryList); ok {
				sent[name] = list.Rank
			}
			return nil
		}}
	}

	BeforeEach(func() {
		sent = make(map[model.InstanceID]int)
		f = New(Config{Identity: model.Identity{Instance: "entry", Location: location}, Clock: clock.NewFake(now), Log: eventlog.Discard()})
		connect(1, "a", "a")
		connect(2, "b", "b")
		connect(3, "c", "c")
		f.sendEntryLists()
	})

	// Guards against a draining instance that takes the first place of a placement.
	It("rank a draining agent behind all others", func() {
		Expect(sent).To(ConsistOf(0, 1, 2))
		for id, c := range f.conns {
			if name := c.hello.Identity.Instance; sent[name] == 2 {
				f.applyEvents(f.view.Heartbeat(now, id, wire.Heartbeat{Draining: true}))
				f.sendEntryLists()
				Expect(sent[name]).To(Equal(2))
			}
		}
	})

	// Guards against an instance that takes the first place because another one has its address.
	It("are not sent to an agent that is gone", func() {
		before := sent["a"]
		connect(4, "d", "a")
		f.sendEntryLists()
		Expect(f.poolRanks()).NotTo(HaveKey(model.InstanceID("a")))
		Expect(sent["a"]).To(Equal(before))
	})
})
