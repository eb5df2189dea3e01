package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/tabletest"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
)

// never replaces time.After with a delay that never ends.
func never(time.Duration) <-chan time.Time { return nil }

func writeAll(b *Batcher, writes []backing.Write) []error {
	errs := make([]error, len(writes))
	var wg sync.WaitGroup
	for i, w := range writes {
		wg.Go(func() { errs[i] = b.Write(context.Background(), w) })
	}
	wg.Wait()
	return errs
}

func inserts(n int) (out []backing.Write) {
	for i := range n {
		out = append(out, backing.Write{Table: Table, Key: fmt.Sprint(i), Condition: backing.IfAbsent})
	}
	return out
}

var _ = Describe("Batcher", func() {
	// Guards against one caller's conflict failing the claims of others.
	It("fails only the conflicting write of a batch", func() {
		table := tabletest.New()
		taken := inserts(8)[3]
		Expect(table.Commit(context.Background(), backing.Transaction{Writes: []backing.Write{taken}})).To(Succeed())
		errs := writeAll(NewBatcher(BatcherConfig{Size: 8, After: never}, table), inserts(8))
		for i, err := range errs {
			if i == 3 {
				Expect(isConflict(err)).To(BeTrue())
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Expect(table.Commits()).To(Equal(1 + 2))
	})

	It("returns ErrUnknown to every writer if the reply is lost", func() {
		table := tabletest.New()
		table.Fault = func(bool) tabletest.Fault { return tabletest.LostReply }
		for _, err := range writeAll(NewBatcher(BatcherConfig{Size: 4, After: never}, table), inserts(4)) {
			Expect(err).To(MatchError(backing.ErrUnknown))
		}
	})

	It("commits two writes to a row separately, so that one succeeds", func() {
		table := tabletest.New()
		b := NewBatcher(BatcherConfig{Size: 8, Delay: time.Millisecond}, table)
		errs := writeAll(b, append(inserts(1), inserts(1)...))
		Expect(errs).To(ContainElement(BeNil()))
		Expect(errs).To(ContainElement(Satisfy(isConflict)))
	})

	// Guards against a canceled request failing the whole batch.
	It("commits the other writes if the leader's context ends", func() {
		table := tabletest.New()
		b := NewBatcher(BatcherConfig{Size: 2, After: never}, table)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		w := inserts(2)
		done := make(chan error)
		go func() { done <- b.Write(ctx, w[0]) }()
		Expect(b.Write(context.Background(), w[1])).To(Succeed())
		<-done
		Expect(table.Rows()).To(Equal(2))
	})
})

// BenchmarkClaim measures one claim with its completion, with and without
// batching.
func BenchmarkClaim(b *testing.B) {
	now := time.Now()
	body := make([]byte, 200)
	run := func(b *testing.B, writer func(*tabletest.Table) Writer) {
		table := tabletest.New()
		l := New(Config{}, table, writer(table))
		var n int64
		var mu sync.Mutex
		b.ReportAllocs()
		b.SetParallelism(32)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				mu.Lock()
				n++
				id := fmt.Sprint(n)
				mu.Unlock()
				key := Key{Service: "orders", Tenant: "t", IdempotencyKey: id}
				decision := l.Claim(context.Background(), now, key, Intent{Attempt: model.AttemptID(id)})
				if decision.Status != StatusHeld {
					b.Error(decision.Status)
				}
				if err := l.Complete(context.Background(), now, key, model.AttemptID(id), Result{Body: body}); err != nil {
					b.Error(err)
				}
			}
		})
		b.ReportMetric(float64(table.Commits())/float64(n), "transactions/op")
	}
	b.Run("single", func(b *testing.B) { run(b, func(*tabletest.Table) Writer { return nil }) })
	b.Run("batched", func(b *testing.B) {
		run(b, func(t *tabletest.Table) Writer { return NewBatcher(BatcherConfig{Delay: time.Millisecond}, t) })
	})
}
