package tracker_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/tracker"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// recordingSender records the messages sent to an agent. If broken, it refuses
// all messages.
type recordingSender struct {
	messages []wire.Message
	broken   bool
}

func (r *recordingSender) TrySend(m wire.Message) error {
	if r.broken {
		return errors.New("connection broken")
	}
	r.messages = append(r.messages, m)
	return nil
}

var _ = Describe("Service", func() {
	var (
		fakeClock *clock.Fake
		s         *tracker.Service
		encoded   []byte
		digest    model.Digest
	)
	attach := func(name string) (*tracker.Session, *recordingSender) {
		sender := new(recordingSender)
		return s.Attach(wire.Hello{Pool: "p", Identity: model.Identity{Instance: model.InstanceID(name), Address: name}}, sender), sender
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(time.Unix(0, 0))
		s = tracker.New(tracker.Config{Clock: fakeClock, Seed: 1, PoolState: func(string) rollout.PoolState { return rollout.PoolState{Live: 2, MinLive: 1} }})
		m, err := weights.BuildBytes(make([]byte, 10), "o", model.Digest{}, 3)
		Expect(err).NotTo(HaveOccurred())
		encoded, err = m.Encode()
		Expect(err).NotTo(HaveOccurred())
		digest = model.Sum(encoded)
	})

	// Guards against every agent reading the manifest from the origin, and against
	// forwarding a corrupt one.
	It("sends one agent to the origin for a manifest and forwards only a valid one", func() {
		a, senderA := attach("a")
		b, senderB := attach("b")
		a.Handle(&wire.ManifestFetch{Manifest: digest})
		b.Handle(&wire.ManifestFetch{Manifest: digest})
		Expect(senderA.messages).To(HaveLen(1))
		Expect(senderB.messages).To(BeEmpty())
		a.Handle(&wire.ManifestData{Manifest: digest, Data: []byte("damaged")})
		Expect(senderB.messages).To(BeEmpty())
		a.Handle(&wire.ManifestData{Manifest: digest, Data: encoded})
		Expect(senderB.messages).To(ConsistOf(&wire.ManifestData{Manifest: digest, Data: encoded}))
	})

	// Guards against grants that stay with a disconnected agent.
	It("reassigns the chunks of a lost agent and keeps a newer connection", func() {
		a, senderA := attach("a")
		b, senderB := attach("b")
		a.Handle(&wire.Announce{Manifest: digest, ChunkBitmap: []byte{0}, RequestedAssignments: 4, Sequence: 1})
		a.Handle(&wire.ManifestData{Manifest: digest, Data: encoded})
		granted := senderA.messages[len(senderA.messages)-1].(*wire.Assign)
		Expect(granted.Assignments).To(HaveLen(2), "three of the four chunks have the same content")
		Expect(granted.Sequence).To(BeEquivalentTo(1))
		again, senderAgain := attach("a")
		again.Handle(&wire.Announce{Manifest: digest, ChunkBitmap: []byte{0}, RequestedAssignments: 1, Sequence: 1})
		a.Detach()
		Expect(senderAgain.messages).NotTo(BeEmpty())
		again.Detach()
		b.Handle(&wire.Announce{Manifest: digest, ChunkBitmap: []byte{0}, RequestedAssignments: 4, Sequence: 1})
		Expect(senderB.messages[len(senderB.messages)-1].(*wire.Assign).Assignments).NotTo(BeEmpty())
	})

	// Guards against a pool without live instances.
	It("grants load permits above the minimum of live instances and reports phases", func() {
		a, senderA := attach("a")
		b, senderB := attach("b")
		a.Handle(&wire.LoadPermitFetch{Manifest: digest})
		b.Handle(&wire.LoadPermitFetch{Manifest: digest})
		Expect(senderA.messages[0].(*wire.LoadPermit).Granted).To(BeTrue())
		Expect(senderB.messages[0].(*wire.LoadPermit).Granted).To(BeFalse())
		a.Handle(&wire.TransferStatus{Manifest: digest, Phase: wire.PhaseLive})
		b.Handle(&wire.LoadPermitFetch{Manifest: digest})
		Expect(senderB.messages[1].(*wire.LoadPermit).Granted).To(BeTrue())
		Expect(s.Report().Instances).To(HaveLen(1))
		fakeClock.Advance(2 * time.Minute)
		s.Tick()
		Expect(s.Report().Instances).To(BeEmpty(), "a version that no agent announces is dropped")
	})
})
