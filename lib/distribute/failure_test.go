package distribute_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("Weight distribution with a single kind of fault", func() {
	const chunks = 40

	// Guards against waiting indefinitely for a source that sends nothing.
	It("uses another source when links stall", func() {
		s := newSim(11, 1, 6, 1, chunks, 0)
		for _, a := range s.agents[:3] {
			s.stalled[[2]string{a.identity.Address, s.agents[5].identity.Address}] = true
		}
		s.stalled[[2]string{"origin", s.agents[5].identity.Address}] = true
		Expect(s.run(time.Minute, nil)).To(Succeed())
	})

	// Guards against storing or offering a corrupt chunk.
	It("completes when peers and the origin send corrupt chunks", func() {
		s := newSim(12, 2, 5, 1, chunks, 0)
		s.corruptShare = 0.05
		Expect(s.run(time.Minute, nil)).To(Succeed())
		Expect(s.originStarts - s.originWaste).To(BeNumerically("<=", 2*chunks*12/10))
	})

	// Guards against sets that mix versions, and against fetching shared chunks
	// again.
	It("keeps shared chunks when the target version changes and changes back", func() {
		s := newSim(13, 1, 4, 1, chunks, chunks/2)
		for range 40 {
			Expect(s.step()).To(Succeed())
		}
		for _, version := range []int{1, 0} {
			for _, a := range s.agents {
				s.setTarget(a, version)
			}
			Expect(s.run(time.Minute, nil)).To(Succeed())
		}
		Expect(s.originStarts - s.originWaste).To(BeNumerically("<=", chunks*3/2*12/10))
	})

	// Guards against chunks that are never fetched because a tracker failed.
	It("continues with the next tracker, and then without a tracker", func() {
		s := newSim(14, 1, 6, 2, chunks, 0)
		for range 20 {
			Expect(s.step()).To(Succeed())
		}
		s.domains[0].trackers[0].down = true
		for range 20 {
			Expect(s.step()).To(Succeed())
		}
		s.domains[0].trackers[1].down = true
		Expect(s.run(5*time.Minute, nil)).To(Succeed())
		Expect(s.originStarts - s.originWaste).To(BeNumerically("<=", chunks*24/10))
	})

	// Guards against every agent reading all weights from the origin.
	It("stays within the origin budget when no tracker was ever reachable", func() {
		s := newSim(15, 1, 8, 1, chunks, 0)
		s.domains[0].trackers[0].down = true
		Expect(s.run(10*time.Minute, nil)).To(Succeed())
		Expect(s.originStarts - s.originWaste).To(BeNumerically("<=", chunks*12/10+8))
	})

	// Guards against retry storms.
	It("backs off when the origin throttles", func() {
		s := newSim(16, 1, 4, 1, chunks, 0)
		s.throttleUntil = s.now.Add(10 * time.Second)
		Expect(s.run(time.Minute, nil)).To(Succeed())
		Expect(s.originStarts).To(BeNumerically("<", chunks+10*10*4))
	})
})

var _ = Describe("Tracker", func() {
	manifest := &weights.Manifest{Object: "o"}
	for i := range 16 {
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{Digest: model.Sum([]byte{byte(i)}), Size: 100})
	}
	agent := func(name string) model.Identity {
		return model.Identity{Instance: model.InstanceID(name), Generation: 1, Address: name}
	}

	// Guards against a paused agent that holds a chunk's only grant.
	It("reassigns the chunk of an expired origin grant and accepts the late result", func() {
		now := time.Unix(0, 0)
		t := distribute.NewTracker(now, distribute.TrackerConfig{Manifest: manifest, OriginStreams: 1})
		t.HandleAnnounce(now, agent("a"), &wire.Announce{ChunkBitmap: weights.NewBitmap(16), RequestedAssignments: 1})
		first := t.Schedule(now)[0].Assign.Assignments[0]
		t.HandleAnnounce(now, agent("b"), &wire.Announce{ChunkBitmap: weights.NewBitmap(16), RequestedAssignments: 1})
		Expect(t.Schedule(now)).To(BeEmpty(), "the only origin stream is in use")

		now = now.Add(6 * time.Second)
		again := t.Schedule(now)
		Expect(again).NotTo(BeEmpty())
		Expect(again[0].Assign.Assignments[0].Grant).NotTo(Equal(first.Grant))

		have := weights.NewBitmap(16)
		have.Set(first.Chunk)
		report := t.HandleAnnounce(now, agent("a"), &wire.Announce{ChunkBitmap: have, FailedGrants: []wire.GrantFailure{{Grant: first.Grant}}})
		Expect(report.OutdatedResults).To(BeNumerically(">=", 1))
		Expect(report.FailedSources).To(BeEmpty(), "a failure of an expired grant is not counted against the source")
	})

	// Guards against one corrupt source that delays all agents.
	It("avoids a peer that sent several corrupt chunks", func() {
		now := time.Unix(0, 0)
		t := distribute.NewTracker(now, distribute.TrackerConfig{Manifest: manifest, OriginStreams: 1})
		full := weights.NewBitmap(16)
		for i := range 16 {
			full.Set(i)
		}
		t.HandleAnnounce(now, agent("bad"), &wire.Announce{ChunkBitmap: full})
		t.HandleAnnounce(now, agent("good"), &wire.Announce{ChunkBitmap: full})
		var failed []wire.GrantFailure
		fromBad := 0
		for range 60 {
			t.HandleAnnounce(now, agent("x"), &wire.Announce{ChunkBitmap: weights.NewBitmap(16), RequestedAssignments: 2, FailedGrants: failed})
			failed, fromBad = nil, 0
			for _, d := range t.Schedule(now) {
				for _, a := range d.Assign.Assignments {
					if a.Source == "bad" {
						fromBad++
					}
					failed = append(failed, wire.GrantFailure{Grant: a.Grant, Corrupt: a.Source == "bad", Busy: a.Source != "bad"})
				}
			}
			now = now.Add(300 * time.Millisecond)
			if fromBad == 0 && len(failed) > 0 {
				break
			}
		}
		Expect(failed).NotTo(BeEmpty())
		Expect(fromBad).To(BeZero())
	})
})

var _ = Describe("MakePlan", func() {
	input := func(weight float64) distribute.PlanInput {
		in := distribute.PlanInput{Size: 8 << 20, ChunkSize: 32 << 10, OriginRate: 4 << 20, InterRegionRate: 400 << 10, TimeWeight: weight}
		for _, name := range []string{"a", "b", "c"} {
			in.Domains = append(in.Domains, distribute.DomainInput{
				Location:  model.Location{Region: model.Region(name), FailureDomain: model.FailureDomain(name)},
				Instances: 20, DownloadRate: 2 << 20, UploadRate: 2 << 20,
			})
		}
		return in
	}

	It("plans one copy if origin traffic is favoured and a shorter time if time is", func() {
		bytes, fast := distribute.MakePlan(input(0)), distribute.MakePlan(input(1))
		Expect(bytes.Policy.Copies).To(Equal(1))
		Expect(fast.EstimatedTime).To(BeNumerically("<", bytes.EstimatedTime))
		Expect(fast.EstimatedTime).To(BeNumerically(">=", fast.LowerBound))
	})

	// Guards against a plan that claims to meet a target time that the links cannot
	// achieve.
	It("reports that the target time cannot be met", func() {
		in := input(1)
		in.TargetTime = time.Second
		Expect(distribute.MakePlan(in).MeetsTarget).To(BeFalse())
	})

	It("ranks exactly one failure domain first for each chunk", func() {
		p := distribute.MakePlan(input(0)).Policy
		for i := range 30 {
			first := 0
			for _, d := range p.Domains {
				if p.Rank(model.Sum([]byte{byte(i)}), d.FailureDomain) == 0 {
					first++
				}
			}
			Expect(first).To(Equal(1))
		}
	})
})

var _ = Describe("LinkShare", func() {
	// Guards against transfers that delay live requests.
	It("halves the share above the threshold and increases it slowly afterwards", func() {
		share, now := distribute.NewLinkShare(distribute.LinkShareConfig{TargetFirstToken: time.Second}), time.Unix(0, 0)
		Expect(share.Observe(now, 900*time.Millisecond)).To(BeNumerically("~", 0.4, 1e-9))
		Expect(share.Observe(now.Add(time.Millisecond), time.Minute)).To(BeNumerically("~", 0.4, 1e-9))
		Expect(share.Observe(now.Add(time.Second), 0)).To(BeNumerically("~", 0.45, 1e-9))
	})

	// Guards against a maximum that has no effect.
	It("does not exceed the configured maximum", func() {
		share, now := distribute.NewLinkShare(distribute.LinkShareConfig{TargetFirstToken: time.Second}), time.Unix(0, 0)
		share.SetMax(0.3)
		Expect(share.Share()).To(BeNumerically("~", 0.3, 1e-9))
		for i := range 20 {
			Expect(share.Observe(now.Add(time.Duration(i)*time.Second), 0)).To(BeNumerically("<=", 0.3))
		}
	})
})
