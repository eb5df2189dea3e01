package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/internal/agenttest"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("Fleet", func() {
	var (
		t    *testFleet
		a, b *agenttest.Agent
	)

	BeforeEach(func() {
		t = newTestFleet()
		a, b = t.agent("runner-a", 1), t.agent("runner-b", 2)
		t.waitForUsable(2)
	})

	// Guards against an instance that gets no more requests from this entry after a
	// network partition or a restart.
	It("reconnects to an agent that was gone", func() {
		address := a.Identity().Address
		a.Stop()
		t.waitForUsable(1)
		Eventually(t.fleet.Members).WithTimeout(settle).Should(HaveLen(1))
		Expect(a.Listen(address)).To(Succeed())
		t.waitForUsable(2)
	})

	// Guards against a link that keeps dialing the old address of an instance that was
	// replaced under the same name at another address.
	It("connects to an instance that comes back at another address", func() {
		a.Stop()
		t.waitForUsable(1)
		t.agent("runner-a", 3)
		t.waitForUsable(2)
	})

	// Guards against routing by an incomplete cache after a gap in the cache events,
	// and against an entry that never requests the missing events.
	It("fetches the cache after a gap and routes by it", func() {
		Eventually(b.OtherMessages).Should(Receive(HaveField("Message", BeAssignableToTypeOf(&wire.CacheFetch{}))))
		prefix := engine.HashPrefix([]byte("system prompt"))
		block := prefix.Block(loaded)
		b.Broadcast(&wire.CacheUpdate{Snapshot: true, Sequence: 4})
		b.Broadcast(&wire.CacheUpdate{Sequence: 6, Stored: []model.Block{block}})
		Eventually(b.OtherMessages).WithTimeout(settle).Should(Receive(HaveField("Message", BeAssignableToTypeOf(&wire.CacheFetch{}))))
		b.Broadcast(&wire.CacheUpdate{Snapshot: true, Sequence: 6, Stored: []model.Block{block}})
		place := func() model.InstanceID {
			request := requirements()
			request.Prefix = prefix
			p, err := t.fleet.Reserve(request)
			Expect(err).NotTo(HaveOccurred())
			t.fleet.Finish(p, outcome.Completed, route.ResultOK)
			return p.Key.Instance
		}
		for range 10 {
			Eventually(place).Should(Equal(model.InstanceID("runner-b")))
		}
	})

	// Guards against a request that crashes one backend server after the other.
	It("quarantines a request after crashes on two instances", func() {
		t.crash(a, fingerprint("poison"))
		t.crash(b, fingerprint("poison"))
		Eventually(func() error {
			request := requirements()
			request.Fingerprint = fingerprint("poison")
			_, err := t.fleet.Reserve(request)
			return err
		}).WithTimeout(settle).Should(MatchError(fleet.ErrQuarantined))
		p, err := t.fleet.Reserve(requirements())
		Expect(err).NotTo(HaveOccurred())
		t.fleet.Finish(p, outcome.Completed, route.ResultOK)
	})

	// Guards against a suspect that is never placed on an instance again because
	// another suspect ran there before.
	It("places a suspect on an instance where another suspect has finished", func() {
		t.crash(a, fingerprint("first"), fingerprint("second"))
		reserve := func(body string) func() (*fleet.Slot, error) {
			request := requirements()
			request.Fingerprint = fingerprint(body)
			return func() (*fleet.Slot, error) { return t.fleet.Reserve(request) }
		}
		first := new(fleet.Slot)
		Eventually(func() (err error) {
			first, err = reserve("first")()
			return err
		}).WithTimeout(settle).Should(Succeed())
		Expect(first.Key.Instance).To(Equal(model.InstanceID("runner-b")))
		second := reserve("second")
		Consistently(func() error { _, err := second(); return err }).WithTimeout(time.Second).Should(MatchError(fleet.ErrNoInstance))
		t.fleet.Finish(first, outcome.Completed, route.ResultOK)
		Eventually(second).WithTimeout(settle).Should(HaveField("Key.Instance", model.InstanceID("runner-b")))
	})
})

var _ = Describe("Instances whose ejection has ended", func() {
	// ejection is long enough for a busy machine to look at the fleet before it ends.
	const ejection = 3 * time.Second
	var (
		t    *testFleet
		b, c *agenttest.Agent
	)
	reserve := func(avoid ...model.InstanceID) (*fleet.Slot, error) {
		request := requirements()
		request.Avoid, request.OfferedAt = avoid, time.Now()
		return t.fleet.Reserve(request)
	}
	mustReserve := func(avoid ...model.InstanceID) *fleet.Slot {
		slot, err := reserve(avoid...)
		Expect(err).NotTo(HaveOccurred())
		return slot
	}
	BeforeEach(func() {
		t = newTestFleet(func(c *fleet.Config) { c.Route.EjectDuration = ejection })
		t.agent("runner-a", 1)
		b, c = t.agent("runner-b", 2), t.agent("runner-c", 3)
		t.waitForUsable(3)
		for range 5 {
			t.fleet.Finish(mustReserve("runner-b", "runner-c"), outcome.Completed, route.ResultError)
		}
		_, err := reserve("runner-b", "runner-c")
		Expect(err).To(MatchError(fleet.ErrNoInstance))
		Expect(t.fleet.ConcurrencyLimited()).To(BeZero())
		Eventually(func() error { _, err := reserve("runner-b", "runner-c"); return err }).WithTimeout(settle).Should(Succeed())
		Expect(t.fleet.ConcurrencyLimited()).To(Equal(1))
	})

	// Guards against a wave of requests on a server whose ejection has ended while the others
	// are full, and against requests that find no server if it is the only one left.
	It("get one request at a time, unless they are the only ones", func() {
		for {
			if _, err := reserve("runner-a"); err != nil {
				break
			}
		}
		_, err := reserve()
		Expect(err).To(MatchError(fleet.ErrNoInstance))
		Expect(mustReserve("runner-b", "runner-c").Key.Instance).To(Equal(model.InstanceID("runner-a")))
	})

	// Guards against requests that find no server although one has only a full window, as the
	// others accept nothing for a while.
	It("are used with a full window if the others keep to their rate limits", func() {
		limited := wire.Load{Capacity: 4, MinIntervalMillis: 60_000}
		for _, agent := range []*agenttest.Agent{b, c} {
			agent.SetLoad(limited)
			Eventually(t.fleet.Members).WithTimeout(settle).Should(ContainElement(SatisfyAll(
				HaveField("Identity.Instance", agent.Identity().Instance), HaveField("Heartbeat.Load", limited))))
		}
		for range 2 {
			_, _ = reserve("runner-a")
		}
		Expect(mustReserve().Key.Instance).To(Equal(model.InstanceID("runner-a")))
	})
})
