package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/pace"
	"github.com/auburnbend/auburnbend/lib/placement"
)

// pacedLoad is a service of engines that receives a request at each interval of a fake
// clock. An engine responds after a multiple of the predicted time.
type pacedLoad struct {
	directory *directory.Directory
	picker    *placement.Picker
	now       time.Time
	// slowdown maps engines to the multiple.
	slowdown map[string]float64
	open     []openRequest
	running  map[string]int
	placed   map[string]int
	refused  int
	changes  []string
	// starts holds when engines have started, in milliseconds.
	starts map[string]int64
}

type openRequest struct {
	lease              *placement.Lease
	responseAt, endsAt time.Time
	responding         bool
}

const streamTime = 2 * time.Second

func newPacedLoad(engines int) *pacedLoad {
	l := &pacedLoad{
		directory: directory.New(), now: time.Unix(1000, 0), slowdown: make(map[string]float64), starts: make(map[string]int64), running: make(map[string]int), placed: make(map[string]int),
	}
	l.picker = placement.New(placement.Config{
		Domain: "north", Regions: map[string]string{"north": "n"},
		OnPace: func(s *directory.Server, cause pace.Cause, limited bool, d time.Duration) {
			l.changes = append(l.changes, fmt.Sprint(s.ID, " ", cause, " ", limited))
		},
	}, l.directory, rand.New(rand.NewPCG(1, 1)))
	for i := range engines {
		l.add(fmt.Sprint("old", i))
	}
	return l
}

func (l *pacedLoad) add(id string) directory.Key {
	if l.starts[id] == 0 {
		l.starts[id] = l.now.UnixMilli()
	}
	listing := &directory.Server{ID: id, StartUnixMilli: l.starts[id], Service: "s", Address: id, Domain: "north", Slots: engine.Slots, Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}}}
	l.directory.Put(listing)
	l.picker.ObserveStarts(l.now)
	l.picker.ObserveCold(l.now)
	l.picker.RecordVerified(listing.Key(), placement.VerifiedWeights{Model: "m", Version: 1, Until: l.now.Add(time.Hour)})
	return listing.Key()
}

// key returns the key of an engine.
func (l *pacedLoad) key(id string) directory.Key {
	return directory.Key{ID: id, StartUnixMilli: l.starts[id]}
}

// run lets a time pass with requests at an interval.
func (l *pacedLoad) run(d, interval time.Duration) {
	const step = 5 * time.Millisecond
	end := l.now.Add(d)
	next := l.now
	for l.now.Before(end) {
		for ; !next.After(l.now); next = next.Add(interval) {
			l.place()
		}
		l.now = l.now.Add(step)
		l.settle()
	}
}

func (l *pacedLoad) place() {
	lease, refusal := l.picker.Pick(placement.Request{Service: "s", Engine: engine, Model: "m", PromptTokens: engine.MeanPromptTokens, LatencyTarget: 500 * time.Millisecond}, l.now)
	if refusal != nil {
		l.refused++
		return
	}
	id := lease.Server.ID
	l.running[id]++
	l.placed[id]++
	took := lease.Predicted
	if by := l.slowdown[id]; by > 0 {
		took = time.Duration(float64(took) * by)
	}
	l.open = append(l.open, openRequest{lease: lease, responseAt: l.now.Add(took), endsAt: l.now.Add(took + streamTime)})
}

func (l *pacedLoad) settle() {
	kept := l.open[:0]
	for _, r := range l.open {
		if !r.responding && !l.now.Before(r.responseAt) {
			r.responding = true
			l.picker.FirstEvent(r.lease, l.now)
		}
		if !l.now.Before(r.endsAt) {
			l.picker.Done(r.lease, placement.Answered, l.now)
			l.running[r.lease.Server.ID]--
			continue
		}
		kept = append(kept, r)
	}
	l.open = kept
}

var _ = Describe("Servers that have just started or recovered", func() {
	// interval is the time between two requests that fills n engines to three quarters.
	interval := func(n int) time.Duration {
		return (streamTime + 200*time.Millisecond) * 4 / time.Duration(3*n*engine.Slots)
	}

	It("carry their full share about a second after their first response, but are not flooded before", func() {
		// Guards against ten added engines that get tens of requests in the first 100 ms as
		// they are idle, and against ones that stay idle while the others are full.
		l := newPacedLoad(6)
		l.run(5*time.Second, interval(6))
		Expect(l.changes).To(BeEmpty(), "servers that are there at the start")
		for i := range 4 {
			l.add(fmt.Sprint("new", i))
		}
		for range 16 {
			l.place()
		}
		for i := range 4 {
			Expect(l.running[fmt.Sprint("new", i)]).To(BeNumerically("<=", 2))
		}
		l.run(1200*time.Millisecond, interval(10))
		Expect(l.picker.ConcurrencyLimited(l.now)).To(BeEmpty())
		l.placed = make(map[string]int)
		l.run(300*time.Millisecond, interval(10))
		total, added := 0, 0
		for id, n := range l.placed {
			total += n
			if strings.HasPrefix(id, "new") {
				added += n
			}
		}
		Expect(float64(added) / float64(total)).To(BeNumerically(">=", 0.4))
		Expect(l.refused).To(BeZero())
		Expect(l.changes).To(ContainElements("new0 start true", "new0 start false"))
	})

	It("get few requests while they respond late", func() {
		// Guards against requests that wait on an engine which is slow after its start.
		l := newPacedLoad(6)
		l.run(5*time.Second, interval(6))
		l.slowdown["new"] = 6
		l.add("new")
		for range 10 {
			for range 5 {
				l.place()
			}
			Expect(l.running["new"]).To(BeNumerically("<=", engine.Slots/4))
			Expect(l.refused).To(BeZero())
			l.run(300*time.Millisecond, interval(2))
		}
		Expect(l.picker.ConcurrencyLimited(l.now)).To(Equal(map[string]int{"s": 1}))
		delete(l.slowdown, "new")
		l.run(3*time.Second, interval(6))
		Expect(l.picker.ConcurrencyLimited(l.now)).To(BeEmpty())
	})

	It("are not limited if they were there before this entry, also when a store lists them again", func() {
		// Guards against entries that start after the loss of all entries and limit servers
		// that are in full use, and against rows that return after an outage.
		l := newPacedLoad(3)
		l.run(5*time.Second, interval(3))
		key := l.key("old0")
		l.directory.Remove("old0", false, l.now)
		l.picker.Prune(l.now)
		l.run(3*time.Second, interval(2))
		Expect(l.add("old0")).To(Equal(key))
		l.run(500*time.Millisecond, interval(3))
		Expect(l.changes).To(BeEmpty())
	})

	It("are not limited if they have run for long before they are listed", func() {
		// Guards against an entry that starts while the store loses rows, and limits servers
		// whose rows it reads only after some seconds of load. Clocks differ by seconds.
		for age, limited := range map[time.Duration]bool{time.Hour: false, 16 * time.Second: false, 8 * time.Second: true, -3 * time.Second: true, -time.Hour: false} {
			l := newPacedLoad(3)
			l.run(5*time.Second, interval(3))
			l.starts["late"] = l.now.Add(-age).UnixMilli()
			l.add("late")
			l.run(500*time.Millisecond, interval(3))
			Expect(len(l.changes) > 0).To(Equal(limited), age.String())
		}
	})

	It("are logged as no longer limited if they leave", func() {
		// Guards against log lines of a limit that never ends.
		l := newPacedLoad(3)
		l.run(5*time.Second, interval(3))
		l.add("new")
		l.run(200*time.Millisecond, interval(3))
		Expect(l.changes).To(Equal([]string{"new start true"}))
		for _, r := range l.open {
			l.picker.Done(r.lease, placement.Rejected, l.now)
		}
		l.open = nil
		l.directory.Remove("new", false, l.now)
		l.picker.Prune(l.now)
		Expect(l.changes).To(Equal([]string{"new start true", "new start false"}))
		Expect(l.picker.ConcurrencyLimited(l.now)).To(BeEmpty())
	})

	It("are used if no others are left", func() {
		// Guards against refusals while a server has free slots.
		l := newPacedLoad(1)
		l.run(4*time.Second, interval(1))
		l.add("new")
		l.picker.SetEvacuated(nil, l.now)
		l.directory.MarkDraining(l.key("old0"), directory.SourceAgent, l.now)
		for range 5 {
			l.place()
		}
		Expect(l.running["new"]).To(Equal(5))
		Expect(l.refused).To(BeZero())
	})

	It("are limited after an ejection and after a cold period, and not during them", func() {
		// Guards against a wave at the end of such a period. The limit of their rate holds
		// while they are cold.
		l := newPacedLoad(2)
		l.run(4*time.Second, interval(2))
		for _, r := range l.open {
			if r.lease.Server.ID == "old0" {
				l.picker.Done(r.lease, placement.Failed, l.now)
			}
		}
		l.run(400*time.Millisecond, 40*time.Millisecond)
		Expect(l.changes).To(BeEmpty())
		l.run(300*time.Millisecond, 40*time.Millisecond)
		Expect(l.changes).To(ContainElement("old0 ejection true"))
		cold := *l.directory.Get(l.key("old1"))
		cold.ColdTime, cold.Revision = time.Second, 7
		l.directory.Put(&cold)
		l.picker.ObserveCold(l.now)
		l.run(900*time.Millisecond, 40*time.Millisecond)
		Expect(l.changes).NotTo(ContainElement("old1 cold true"))
		l.run(300*time.Millisecond, 40*time.Millisecond)
		Expect(l.changes).To(ContainElement("old1 cold true"))
	})

	It("are judged by the notices of other entries, but not by the end of a stream whose notice is lost", func() {
		// Guards against a placer that does not learn that the responses to the requests of
		// other entries are late, and against one that takes the length of a stream for a
		// late response.
		for _, lost := range []bool{false, true} {
			l := newPacedLoad(1)
			l.run(4*time.Second, interval(1))
			l.add("new")
			table := placement.NewLeaseTable(l.picker)
			req := placement.Request{Service: "s", Engine: engine, Model: "m", PromptTokens: 500, Exclude: []directory.Key{{ID: "old0"}}}
			grant := func(numbers ...uint64) (ids []placement.LeaseID) {
				for _, n := range numbers {
					id := placement.LeaseID{Entry: "e2", Number: n}
					_, refusal := table.Grant(id, req, l.now)
					Expect(refusal).To(BeNil())
					ids = append(ids, id)
				}
				return ids
			}
			for _, id := range grant(1, 2) {
				l.now = l.now.Add(50 * time.Millisecond)
				table.FirstEvent(id, l.now)
				table.Done(id, placement.Answered, l.now)
			}
			late := grant(3, 4, 5, 6)
			l.now = l.now.Add(2 * time.Second)
			for _, id := range late {
				if !lost {
					table.FirstEvent(id, l.now)
				}
				table.Done(id, placement.Answered, l.now)
			}
			for range 6 {
				l.place()
			}
			Expect(l.running["new"]).To(Equal(map[bool]int{true: 4, false: 2}[lost]))
		}
	})
})
