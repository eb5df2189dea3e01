package spread_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/spread"
)

const (
	narrowPieceBytes = 24576
	// declaredRate and narrowRate are rates of a link in bytes per second: 7.3 and
	// 0.9 Mbit/s.
	declaredRate = 7.3e6 / 8
	narrowRate   = 0.9e6 / 8
)

// linkedFetch simulates the fetch of one instance, in virtual time, from peers that hold
// all pieces and send each one at once. The pieces wait for each other on the instance's
// link.
type linkedFetch struct {
	scheduler *spread.Scheduler
	start     time.Time
	now       time.Time
	rate      float64
	// queue holds the pieces on the link in their order, with the bytes that are left.
	queue []queuedPiece
	// startedAt is when the first piece in the queue began to arrive.
	startedAt time.Time
	// silentPeer sends nothing.
	silentPeer string
}

type queuedPiece struct {
	number int
	left   float64
}

func newLinkedFetch(pieces int) *linkedFetch {
	self := spread.Member{ID: "0.0", Region: "0"}
	members := []spread.Member{self}
	var missing []int
	for number := range pieces {
		missing = append(missing, number)
	}
	peers := []string{"0.1", "0.2", "0.3", "0.4", "0.5"}
	for _, id := range peers {
		members = append(members, spread.Member{ID: id, Region: "0"})
	}
	start := time.Unix(1000, 0)
	f := &linkedFetch{start: start, now: start, rate: declaredRate}
	f.scheduler = spread.NewScheduler(spread.Config{}, spread.NewPlan(self, members, pieces), pieces, missing, f.now)
	for _, id := range peers {
		f.scheduler.Have(id, missing, f.now)
	}
	return f
}

// waitTime is how long a request that is sent now waits behind pieces.
func (f *linkedFetch) waitTime() time.Duration {
	bytes := 0.0
	for _, p := range f.queue {
		bytes += p.left
	}
	return timeOnLink(bytes, f.rate)
}

// timeOnLink is the time that a number of bytes takes on a link.
func timeOnLink(bytes, rate float64) time.Duration {
	return time.Duration(bytes / rate * float64(time.Second))
}

// run advances the simulation to the given time after its start, or until all pieces
// have come.
func (f *linkedFetch) run(until time.Duration, each func()) {
	for f.now.Sub(f.start) < until && f.scheduler.Remaining() > 0 {
		for _, req := range f.scheduler.Next(f.now) {
			if req.Source == f.silentPeer || req.Source == spread.Origin {
				continue
			}
			if len(f.queue) == 0 {
				f.startedAt = f.now
			}
			f.queue = append(f.queue, queuedPiece{number: req.Piece, left: narrowPieceBytes})
		}
		each()
		f.now = f.now.Add(step)
		f.deliver(f.rate * step.Seconds())
	}
}

func (f *linkedFetch) deliver(bytes float64) {
	for len(f.queue) > 0 && bytes > 0 {
		first := &f.queue[0]
		sent := min(bytes, first.left)
		first.left -= sent
		bytes -= sent
		if first.left > 0 {
			return
		}
		f.scheduler.ReceivedFromPeer(first.number, f.now.Sub(f.startedAt), f.now)
		f.queue, f.startedAt = f.queue[1:], f.now
	}
}

var _ = Describe("Scheduler on a narrowed link", func() {
	It("leaves room for requests, and uses the whole link once it is wide again", func() {
		// Guards against requests that wait for seconds behind pieces: the scheduler kept
		// five pieces on their way, and requested them once more when they were late.
		f := newLinkedFetch(96)
		f.run(300*time.Millisecond, func() {})
		f.rate = narrowRate
		longest := time.Duration(0)
		f.run(2*time.Second, func() {})
		f.run(6*time.Second, func() { longest = max(longest, f.waitTime()) })
		Expect(longest).To(BeNumerically("<=", timeOnLink(narrowPieceBytes, narrowRate)), "time that a request waits")
		remaining := f.scheduler.Remaining()
		Expect(remaining).To(BeNumerically("<=", 70), "pieces left, of which the link delivered at least one each 0.25 s")
		f.rate = declaredRate
		f.run(20*time.Second, func() {})
		Expect(f.scheduler.Remaining()).To(BeZero())
		Expect(f.now.Sub(f.start)).To(BeNumerically("<", 6*time.Second+time.Duration(remaining)*40*time.Millisecond))
	})

	It("does not take a silent peer for a narrow link", func() {
		// Guards against a fetch that waits for one peer while the others are idle.
		f := newLinkedFetch(96)
		f.silentPeer = "0.3"
		f.run(20*time.Second, func() {})
		Expect(f.scheduler.Remaining()).To(BeZero())
		// The pieces that the silent peer was asked for are requested elsewhere after 1.5 s.
		Expect(f.now.Sub(f.start)).To(BeNumerically("<", 6*time.Second))
	})

	It("leaves pieces of the origin to members with wider links", func() {
		// Guards against pieces that one instance with a narrow link fetches, each of which
		// takes it a second, and sends to all others.
		s := newSwarm(3, 5, 96)
		s.agents["0.1"].slow = true
		s.agents["1.2"].slow = true
		s.start()
		Expect(s.run(20 * time.Second)).To(BeTrue())
		fetched := s.now.Sub(time.Unix(1000, 0))
		Expect(fetched).To(BeNumerically("<", 5600*time.Millisecond), "the part of 8 s in which pieces must come")
	})
})
