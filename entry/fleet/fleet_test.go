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

var _ = Describe("A fleet", func() {
	var (
		w    *world
		a, b *agenttest.Agent
	)

	BeforeEach(func() {
		w = newWorld()
		a, b = w.agent("runner-a", 1), w.agent("runner-b", 2)
		w.usable(2)
	})

	// Guards against an instance that stays without requests from this entry
	// after a partition or a restart.
	It("connects again to an agent that was gone", func() {
		address := a.Identity().Address
		a.Stop()
		w.usable(1)
		Eventually(w.fleet.Members).WithTimeout(settle).Should(HaveLen(1))
		Expect(a.Listen(address)).To(Succeed())
		w.usable(2)
	})

	// Guards against a link that dials the address of a process that was
	// replaced under the same name elsewhere.
	It("connects to an instance that comes back at another address", func() {
		a.Stop()
		w.usable(1)
		w.agent("runner-a", 3)
		w.usable(2)
	})

	// Guards against requests that go to an instance by cache events with a gap,
	// and against an entry that never asks for what it missed.
	It("asks for the cache after a gap and routes by it", func() {
		Eventually(b.Others).Should(Receive(HaveField("Message", BeAssignableToTypeOf(&wire.CacheFetch{}))))
		prefix := engine.PrefixOf([]byte("system prompt"))
		block := prefix.Under(loaded)
		b.Broadcast(&wire.CacheUpdate{Snapshot: true, Sequence: 4})
		b.Broadcast(&wire.CacheUpdate{Sequence: 6, Stored: []model.Block{block}})
		Eventually(b.Others).WithTimeout(settle).Should(Receive(HaveField("Message", BeAssignableToTypeOf(&wire.CacheFetch{}))))
		b.Broadcast(&wire.CacheUpdate{Snapshot: true, Sequence: 6, Stored: []model.Block{block}})
		taken := func() model.InstanceID {
			request := requirements()
			request.Prefix = prefix
			p, err := w.fleet.Reserve(request)
			Expect(err).NotTo(HaveOccurred())
			w.fleet.Finish(p, outcome.Completed, route.ResultOK)
			return p.Key.Instance
		}
		for range 10 {
			Eventually(taken).Should(Equal(model.InstanceID("runner-b")))
		}
	})

	// Guards against a request that crashes one backend server after another.
	It("quarantines a request after crashes on two instances", func() {
		w.crash(a, finger("poison"))
		w.crash(b, finger("poison"))
		Eventually(func() error {
			request := requirements()
			request.Fingerprint = finger("poison")
			_, err := w.fleet.Reserve(request)
			return err
		}).WithTimeout(settle).Should(MatchError(fleet.ErrQuarantined))
		p, err := w.fleet.Reserve(requirements())
		Expect(err).NotTo(HaveOccurred())
		w.fleet.Finish(p, outcome.Completed, route.ResultOK)
	})

	// Guards against a suspect that is kept off an instance for good because
	// another suspect ran there for a while.
	It("lets a suspect run where another suspect has ended", func() {
		w.crash(a, finger("first"), finger("second"))
		reserve := func(body string) func() (*fleet.Slot, error) {
			request := requirements()
			request.Fingerprint = finger(body)
			return func() (*fleet.Slot, error) { return w.fleet.Reserve(request) }
		}
		first := new(fleet.Slot)
		Eventually(func() (err error) {
			first, err = reserve("first")()
			return err
		}).WithTimeout(settle).Should(Succeed())
		Expect(first.Key.Instance).To(Equal(model.InstanceID("runner-b")))
		second := reserve("second")
		Consistently(func() error { _, err := second(); return err }).WithTimeout(time.Second).Should(MatchError(fleet.ErrNoInstance))
		w.fleet.Finish(first, outcome.Completed, route.ResultOK)
		Eventually(second).WithTimeout(settle).Should(HaveField("Key.Instance", model.InstanceID("runner-b")))
	})
})
