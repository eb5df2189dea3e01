package memory_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/memory"
)

var _ = Describe("Budget", func() {
	ctx := context.Background()
	ended, cancel := context.WithCancel(ctx)
	cancel()
	// acquire starts a call and returns what it gets.
	acquire := func(ctx context.Context, b *memory.Budget, holder string, bytes int64) <-chan *memory.Reservation {
		granted := make(chan *memory.Reservation, 1)
		go func() {
			if r, err := b.Acquire(ctx, holder, bytes); err == nil {
				granted <- r
			}
		}()
		return granted
	}

	It("leaves room for holders that have none", func() {
		// Guards against one team whose long bodies shut out all others.
		b := memory.NewBudget(100, 80)
		_, err := b.Acquire(ctx, "a", 80)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Acquire(ended, "a", 1)
		Expect(err).To(MatchError(memory.ErrExhausted))
		_, err = b.Acquire(ctx, "b", 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Held()).To(BeEquivalentTo(100))
		Expect(b.Refused()).To(BeEquivalentTo(1))
	})

	It("grants room first to the holder that has least", func() {
		// Guards against a holder that waits behind all calls of another one.
		b := memory.NewBudget(100, 100)
		first, err := b.Acquire(ctx, "a", 60)
		Expect(err).NotTo(HaveOccurred())
		second, err := b.Acquire(ctx, "a", 40)
		Expect(err).NotTo(HaveOccurred())
		again := acquire(ctx, b, "a", 60)
		Consistently(again, 50*time.Millisecond).ShouldNot(Receive())
		other := acquire(ctx, b, "b", 60)
		Consistently(other, 50*time.Millisecond).ShouldNot(Receive())
		first.Release()
		var granted *memory.Reservation
		Eventually(other).Should(Receive(&granted))
		Consistently(again, 50*time.Millisecond).ShouldNot(Receive())
		second.Release()
		granted.Shrink(20)
		Eventually(again).Should(Receive())
		Expect(b.Held()).To(BeEquivalentTo(80))
	})

	It("grants a reservation beyond its limit only alone", func() {
		// Guards against a body of an allowed size that a small instance never accepts.
		b := memory.NewBudget(10, 5)
		large, err := b.Acquire(ended, "a", 30)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Acquire(ended, "b", 1)
		Expect(err).To(MatchError(memory.ErrExhausted))
		large.Release()
		large.Release()
		Expect(b.Held()).To(BeZero())
	})

	It("keeps the room of a shared reservation until its last user has ended", func() {
		// Guards against room that is granted again while a queue still holds the bytes.
		b := memory.NewBudget(100, 100)
		r, err := b.Acquire(ctx, "a", 60)
		Expect(err).NotTo(HaveOccurred())
		request := r.Share()
		queue := request.Hold()
		request.Release()
		Expect(b.Held()).To(BeEquivalentTo(60))
		queue.Release()
		Expect(b.Held()).To(BeZero())
		var none *memory.Reservation
		none.Share().Hold().Release()
	})

	It("holds no more than its limits and loses no room", func() {
		// Guards against room that is granted twice, or not returned by a call that has given up.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit, holderLimit = 100, 60
			b := memory.NewBudget(limit, holderLimit)
			type grant struct {
				reservation *memory.Reservation
				holder      string
				bytes       int64
			}
			var grants []grant
			sum := func(holder string) (all, own int64) {
				for _, g := range grants {
					if all += g.bytes; g.holder == holder {
						own += g.bytes
					}
				}
				return all, own
			}
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				if len(grants) > 0 && rapid.Bool().Draw(t, "release") {
					i := rapid.IntRange(0, len(grants)-1).Draw(t, "index")
					kept := rapid.Int64Range(0, grants[i].bytes).Draw(t, "kept")
					grants[i].reservation.Shrink(kept)
					grants[i].bytes = kept
					continue
				}
				holder := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "holder"))
				bytes := rapid.Int64Range(1, 50).Draw(t, "bytes")
				all, own := sum(holder)
				r, err := b.Acquire(ended, holder, bytes)
				if want := all == 0 || all+bytes <= limit && own+bytes <= holderLimit; (err == nil) != want {
					t.Fatalf("%d bytes for %s that has %d of %d: %v", bytes, holder, own, all, err)
				}
				if err == nil {
					grants = append(grants, grant{r, holder, bytes})
				}
			}
			if all, _ := sum(""); b.Held() != all {
				t.Fatalf("%d held, want %d", b.Held(), all)
			}
			for _, g := range grants {
				g.reservation.Release()
			}
			if b.Held() != 0 {
				t.Fatalf("%d bytes stay held", b.Held())
			}
		})
	})
})
