package backend_test

import (
	"context"
	"errors"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/standin/fault"
	"github.com/auburnbend/auburnbend/standin/table"
)

var _ = Describe("NextStart", func() {
	ctx := context.Background()

	// Two agents with one number could not tell their orders apart.
	It("never returns a number twice, also when replies are lost", func() {
		service := table.New()
		service.Faults.Set(fault.Faults{LoseAfter: 2, LoseBefore: 1})
		var mu sync.Mutex
		taken := map[uint64]int{}
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				for range 5 {
					if n, err := backend.NextEpoch(ctx, service, "huye-1", 0); err == nil {
						mu.Lock()
						taken[n]++
						mu.Unlock()
					}
				}
			})
		}
		all.Wait()
		Expect(taken).NotTo(BeEmpty())
		Expect(taken).To(HaveEach(1))
	})

	It("stays above what the engine accepted while the store was down", func() {
		service := table.New()
		service.Faults.Set(fault.Faults{Down: true})
		_, err := backend.NextEpoch(ctx, service, "huye-1", 6)
		Expect(errors.Is(err, backend.ErrNoEpoch)).To(BeTrue())
		service.Faults.Set(fault.Faults{})
		Expect(backend.NextEpoch(ctx, service, "huye-1", 6)).To(Equal(uint64(7)))
		Expect(backend.NextEpoch(ctx, service, "huye-1", 0)).To(Equal(uint64(8)))
	})
})
