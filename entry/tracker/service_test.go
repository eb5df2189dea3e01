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

// inbox records what an agent is sent; a broken one refuses everything.
type inbox struct {
	got    []wire.Message
	broken bool
}

func (i *inbox) TrySend(m wire.Message) error {
	if i.broken {
		return errors.New("broken")
	}
	i.got = append(i.got, m)
	return nil
}

var _ = Describe("Service", func() {
	var (
		now     *clock.Fake
		s       *tracker.Service
		encoded []byte
		digest  model.Digest
	)
	attach := func(name string) (*tracker.Session, *inbox) {
		box := new(inbox)
		return s.Attach(wire.Hello{Pool: "p", Identity: model.Identity{Instance: model.InstanceID(name), Address: name}}, box), box
	}
	BeforeEach(func() {
		now = clock.NewFake(time.Unix(0, 0))
		s = tracker.New(tracker.Config{Clock: now, Seed: 1, PoolState: func(string) rollout.PoolState { return rollout.PoolState{Live: 2, MinLive: 1} }})
		m, err := weights.BuildBytes(make([]byte, 10), "o", model.Digest{}, 3)
		Expect(err).NotTo(HaveOccurred())
		encoded, err = m.Encode()
		Expect(err).NotTo(HaveOccurred())
		digest = model.Sum(encoded)
	})

	It("sends one agent to the origin for a manifest and passes only a valid one on (guards against N manifest reads and a corrupt manifest)", func() {
		a, boxA := attach("a")
		b, boxB := attach("b")
		a.Handle(&wire.ManifestFetch{Manifest: digest})
		b.Handle(&wire.ManifestFetch{Manifest: digest})
		Expect(boxA.got).To(HaveLen(1))
		Expect(boxB.got).To(BeEmpty())
		a.Handle(&wire.ManifestData{Manifest: digest, Data: []byte("damaged")})
		Expect(boxB.got).To(BeEmpty())
		a.Handle(&wire.ManifestData{Manifest: digest, Data: encoded})
		Expect(boxB.got).To(ConsistOf(&wire.ManifestData{Manifest: digest, Data: encoded}))
	})

	It("grants again what a lost agent held, and keeps a newer connection (guards against grants that wait for a dead agent)", func() {
		a, boxA := attach("a")
		b, boxB := attach("b")
		a.Handle(&wire.Announce{Manifest: digest, Have: []byte{0}, Slots: 4, Sequence: 1})
		a.Handle(&wire.ManifestData{Manifest: digest, Data: encoded})
		granted := boxA.got[len(boxA.got)-1].(*wire.Assign)
		Expect(granted.Assignments).To(HaveLen(2), "three of the four chunks are equal")
		Expect(granted.Sequence).To(BeEquivalentTo(1))
		again, boxAgain := attach("a")
		again.Handle(&wire.Announce{Manifest: digest, Have: []byte{0}, Slots: 1, Sequence: 1})
		a.Detach()
		Expect(boxAgain.got).NotTo(BeEmpty())
		again.Detach()
		b.Handle(&wire.Announce{Manifest: digest, Have: []byte{0}, Slots: 4, Sequence: 1})
		Expect(boxB.got[len(boxB.got)-1].(*wire.Assign).Assignments).NotTo(BeEmpty())
	})

	It("gives load permits within the minimum and reports phases (guards against a pool without live instances)", func() {
		a, boxA := attach("a")
		b, boxB := attach("b")
		a.Handle(&wire.LoadPermitFetch{Manifest: digest})
		b.Handle(&wire.LoadPermitFetch{Manifest: digest})
		Expect(boxA.got[0].(*wire.LoadPermit).Granted).To(BeTrue())
		Expect(boxB.got[0].(*wire.LoadPermit).Granted).To(BeFalse())
		a.Handle(&wire.TransferStatus{Manifest: digest, Phase: wire.PhaseLive})
		b.Handle(&wire.LoadPermitFetch{Manifest: digest})
		Expect(boxB.got[1].(*wire.LoadPermit).Granted).To(BeTrue())
		Expect(s.Report().Instances).To(HaveLen(1))
		now.Advance(2 * time.Minute)
		s.Tick()
		Expect(s.Report().Instances).To(BeEmpty(), "a version that nobody announces is forgotten")
	})
})
