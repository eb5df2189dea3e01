package replica_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/auburnbend/auburnbend/replica"
)

var _ = Describe("Replica", func() {
	const timeout = 20 * time.Second

	It("rolls a declared version out to all engines with one copy from the origin", func() {
		f := newFleet(1, 1, 1, 1, 1, 1)
		f.setTarget(1)
		f.setTarget(2)
		Eventually(f.serving(2), timeout).Should(BeTrue())
		f.expectUnmixed()
		// A member that happens to be late may read a piece from the origin a second
		// time.
		Expect(f.origin.served.Load()).To(BeNumerically("<=", 2*testPieces))
	})

	It("reads a manifest from the origin on two instances per region only", func() {
		// Guards against manifest reads that use up the origin's link: with 150
		// engines they took more than a third of a copy of the weights, and
		// connections above the origin's limit were reset.
		f := newFleet(1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		f.setTarget(2)
		Eventually(f.serving(2), timeout).Should(BeTrue())
		Expect(f.origin.manifests.Load()).To(BeNumerically("<=", 4))
	})

	It("reads the manifest from the origin when the instances that should have it are gone", func() {
		f := newFleet(1)
		for i := range 12 {
			// Nothing listens at these addresses.
			f.peers = append(f.peers, replica.Peer{Address: fmt.Sprintf("127.0.2.%d:9", i+1), Region: "0"})
		}
		f.setTarget(2)
		Eventually(f.serving(2), timeout).Should(BeTrue())
	})

	It("does not mix pieces of versions declared in quick succession", func() {
		// Guards against an engine that loads pieces of two versions.
		f := newFleet(1, 1, 1, 1)
		f.setTarget(2)
		time.Sleep(300 * time.Millisecond)
		f.setTarget(3)
		Eventually(f.serving(3), timeout).Should(BeTrue())
		f.expectUnmixed()
	})

	It("abandons an older version that would arrive too late to serve", func() {
		// Guards against an older version that arrives when the next one must already
		// serve, and delays it. On umurage-crest scale-1 the origin returned 2.5 s
		// before the newer version's deadline, and 2 s of that went to the older one.
		f := newFleet(1, 1)
		f.origin.pieceTime.Store(int64(20 * time.Millisecond))
		f.setTarget(2)
		Eventually(f.origin.served.Load, timeout).Should(BeNumerically(">=", testPieces*3/4))
		f.origin.down.Store(true)
		f.setTarget(3)
		time.Sleep(900 * time.Millisecond)
		f.origin.down.Store(false)
		Eventually(f.serving(3), timeout).Should(BeTrue())
		for _, e := range f.engines {
			e.mu.Lock()
			Expect(e.orders).To(Equal(1))
			e.mu.Unlock()
		}
	})

	It("never loads corrupt pieces", func() {
		// Guards against loading corrupt or incomplete weights.
		f := newFleet(1, 1)
		f.origin.corruptCount.Store(7)
		f.setTarget(2)
		Eventually(f.serving(2), timeout).Should(BeTrue())
		f.expectUnmixed()
		Expect(f.replicas[0].Stats().CorruptPieces.Load() + f.replicas[1].Stats().CorruptPieces.Load()).To(Equal(int64(7)))
	})

	It("rejects a manifest with another number of pieces than the configuration declares", func() {
		// Guards against an engine that keeps pieces of the previous version which the
		// manifest doesn't name.
		f := newFleet(1, 1, 1)
		f.origin.shortManifests.Store(2)
		f.setTarget(2)
		Eventually(f.serving(2), timeout).Should(BeTrue())
		f.expectUnmixed()
	})

	It("supplies an added engine from peers", func() {
		f := newFleet(0, 0)
		f.setTarget(1)
		Eventually(f.serving(1), timeout).Should(BeTrue())
		f.engines = append(f.engines, newFakeEngine(0))
		f.peers = append(f.peers, replica.Peer{Address: f.host(2) + ":9", Region: "0"})
		served := f.origin.served.Load()
		added := f.start(2)
		added.SetTarget("m", 1)
		Eventually(f.serving(1), timeout).Should(BeTrue())
		Expect(f.origin.served.Load()).To(BeNumerically("<", served+testPieces))
	})

	It("fetches from peers that register after the fetch has started", func() {
		// Guards against restarted engines that each read a whole copy from the origin
		// because no other engine was registered when they started.
		f := newFleet(0)
		f.setTarget(1)
		Eventually(f.serving(1), timeout).Should(BeTrue())
		f.origin.pieceTime.Store(int64(200 * time.Millisecond))
		f.engines = append(f.engines, newFakeEngine(0))
		f.peers = append(f.peers, replica.Peer{Address: f.host(1) + ":9", Region: "0"})
		f.unlisted.Store(true)
		served := f.origin.served.Load()
		added := f.start(1)
		added.SetTarget("m", 1)
		Eventually(f.origin.served.Load, timeout).Should(BeNumerically(">", served))
		f.unlisted.Store(false)
		Eventually(f.serving(1), timeout).Should(BeTrue())
		Expect(f.origin.served.Load()).To(BeNumerically("<", served+testPieces/2))
	})

	It("loads the pieces that an engine still holds after a restart", func() {
		f := newFleet(0)
		f.setTarget(1)
		Eventually(f.serving(1), timeout).Should(BeTrue())
		served := f.origin.served.Load()
		f.engines[0].mu.Lock()
		f.engines[0].startUnixMilli, f.engines[0].loaded = 2, 0
		f.engines[0].mu.Unlock()
		Eventually(f.serving(1), timeout).Should(BeTrue())
		Expect(f.origin.served.Load()).To(Equal(served))
	})

	It("fetches a piece again that was corrupted at the engine", func() {
		f := newFleet(0)
		f.setTarget(1)
		Eventually(f.serving(1), timeout).Should(BeTrue())
		f.engines[0].mu.Lock()
		f.engines[0].staged[3] = []byte("corrupt")
		f.engines[0].startUnixMilli, f.engines[0].loaded = 2, 0
		f.engines[0].mu.Unlock()
		Eventually(f.serving(1), timeout).Should(BeTrue())
		f.expectUnmixed()
	})

	It("lets the engine start its queued requests before the load order", func() {
		// Guards against requests that wait in the queue only to be rejected by the
		// order.
		f := newFleet(1)
		f.setTarget(1)
		f.engines[0].mu.Lock()
		f.engines[0].queued = 3
		f.engines[0].mu.Unlock()
		f.setTarget(2)
		Eventually(f.serving(2), timeout).Should(BeTrue())
		Expect(f.engines[0].rejected).To(BeZero())
	})

	It("waits between attempts to stage a piece that the engine doesn't store", func() {
		// Guards against an agent that uses a whole processor, and logs hundreds of lines
		// per second, while the staging area of its engine is defective.
		f := newFleet(1)
		f.engines[0].mu.Lock()
		f.engines[0].unstorable = true
		f.engines[0].mu.Unlock()
		f.setTarget(2)
		reads := func() int {
			f.engines[0].mu.Lock()
			defer f.engines[0].mu.Unlock()
			return f.engines[0].reads
		}
		Eventually(reads, timeout).Should(BeNumerically(">", 0))
		before := reads()
		time.Sleep(time.Second)
		Expect(reads() - before).To(BeNumerically("<=", 11))
		f.engines[0].mu.Lock()
		f.engines[0].unstorable = false
		f.engines[0].mu.Unlock()
		Eventually(f.serving(2), timeout).Should(BeTrue())
	})

	It("continues once the origin is back", func() {
		f := newFleet(1)
		f.origin.down.Store(true)
		f.setTarget(2)
		Consistently(f.serving(2), 500*time.Millisecond).Should(BeFalse())
		Eventually(f.logs).Should(gbytes.Say("event=7308 .*err=down"))
		f.origin.down.Store(false)
		Eventually(f.serving(2), timeout).Should(BeTrue())
		Eventually(f.logs).Should(gbytes.Say("event=7309"))
	})
})
