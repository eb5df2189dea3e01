package gate

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("The memory of a gate", func() {
	var (
		backend *fakeBackend
		clk     *clock.Fake
		entry   *fakeEntry
	)
	newGate := func(config Config) *Gate {
		clk = clock.NewFake(time.Unix(1_800_000_000, 0))
		backend = &fakeBackend{}
		g := New(config, clk, backend, nil)
		g.Serve([]model.Weights{v1})
		entry = newFakeEntry()
		g.Connect(entry)
		return g
	}
	// start sends a request of a tenant with a body in room, or without one.
	start := func(g *Gate, id, tenant string, bytes int64) {
		m := requestStart(model.AttemptID(id))
		m.Tenant = model.Tenant(tenant)
		room, ok := g.ReserveBody(m.Tenant, bytes)
		m.Room, m.BodyDropped = room, !ok
		g.Handle(entry, m)
	}

	It("refuses a request without room as not run, and returns the room of each at its end", func() {
		// Guards against long bodies that are held beyond the limit, or room that is lost.
		release := make(chan struct{})
		var reasons atomic.Int64
		g := newGate(Config{MaxBodyBytes: 80, OnRefusal: func(outcome.Reason) { reasons.Add(1) }})
		backend.run = func(context.Context, wire.RequestStart, func([]byte) error) (int, string, error) {
			<-release
			return 200, "", nil
		}
		start(g, "first", "a", 40)
		start(g, "second", "a", 40)
		var refused wire.Message
		Eventually(entry.messages).Should(Receive(&refused))
		Expect(refused).To(Equal(&wire.RequestRefused{Attempt: "second", Reason: outcome.ReasonMemoryExhausted, RetryAfterMillis: 500}))
		Expect(reasons.Load()).To(BeEquivalentTo(1))
		// One tenant leaves room for others.
		start(g, "third", "b", 40)
		Expect(g.Bodies().Held()).To(BeEquivalentTo(80))
		// A copy of an attempt and one for other weights take none.
		close(release)
		Eventually(g.Bodies().Held).Should(BeZero())
		start(g, "first", "a", 40)
		other := requestStart("other")
		other.Weights = model.Weights{Base: model.Sum([]byte("other"))}
		other.Room, _ = g.ReserveBody("a", 40)
		g.Handle(entry, other)
		Expect(g.Bodies().Held()).To(BeZero())
	})

	It("bounds the unconfirmed frames of all attempts, and loses none", func() {
		// Guards against entries that do not confirm, each within the limit of one response.
		const attempts, frames, size = 12, 8, 32 << 10
		g := newGate(Config{MaxResponseBytes: 5 * size})
		backend.run = func(_ context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
			for range frames {
				if err := emit(make([]byte, size)); err != nil {
					return 0, "", err
				}
			}
			return 200, "", nil
		}
		for i := range attempts {
			g.Handle(entry, requestStart(model.AttemptID(fmt.Sprint(i))))
		}
		held := func() int64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.core.HeldResponses()
		}
		received := make(map[model.AttemptID]uint64)
		ended := 0
		var late []*wire.ResponseFrame
		for ended < attempts {
			var m wire.Message
			select {
			case m = <-entry.messages:
			case <-time.After(100 * time.Millisecond):
				// Nothing moves until the entry confirms.
				Expect(late).NotTo(BeEmpty())
				for _, f := range late {
					g.Handle(entry, &wire.ResponseAck{Attempt: f.Attempt, NextSequence: f.Sequence + 1})
				}
				late = nil
				continue
			}
			Expect(held()).To(BeNumerically("<=", 5*size))
			switch m := m.(type) {
			case *wire.ResponseFrame:
				received[m.Attempt] += uint64(len(m.Data))
				late = append(late, m)
			case *wire.ResponseEnd:
				Expect(m.Outcome).To(Equal(outcome.Completed))
				Expect(received[m.Attempt]).To(BeEquivalentTo(frames * size))
				g.Handle(entry, &wire.ResponseAck{Attempt: m.Attempt, NextSequence: m.Frames + 1})
				ended++
			}
		}
		Expect(held()).To(BeZero())
	})

	It("counts exactly the unconfirmed frames", func() {
		// Guards against room that leaks where attempts end, are dropped or are confirmed.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit = 200 << 10
			c := NewCore(Config{MaxResponseBytes: limit, ReplayBytes: 100 << 10}, nil)
			c.SetLive([]model.Weights{v1})
			now := time.Unix(1_800_000_000, 0)
			for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
				id := model.AttemptID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "attempt")))
				switch rapid.IntRange(0, 6).Draw(t, "step") {
				case 0:
					m := requestStart(id + model.AttemptID(fmt.Sprint("-", i)))
					m.Attempt = id
					m.Repeatable = rapid.Bool().Draw(t, "repeatable")
					c.Admit(now, m)
				case 1, 2:
					c.AppendFrame(now, id, make([]byte, rapid.IntRange(1, 60<<10).Draw(t, "bytes")))
				case 3:
					c.Ack(id, rapid.Uint64Range(0, 5).Draw(t, "next"))
				case 4:
					c.End(now, id, outcome.Completed, outcome.ReasonNone, 200, "")
				case 5:
					if rapid.Bool().Draw(t, "detach") {
						c.Detach(now, id)
					} else {
						c.Cancel(now, id)
					}
				case 6:
					now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, 15 * time.Second, time.Minute, 11 * time.Minute}).Draw(t, "time"))
					c.Expire(now)
				}
				var want int64
				for _, r := range c.records {
					want += max(0, int64(r.replay.bytes)-freeReplayBytes)
				}
				if c.HeldResponses() != want || want > limit {
					t.Fatalf("%d bytes counted, %d held, limit %d", c.HeldResponses(), want, limit)
				}
			}
		})
	})
})
