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

var _ = Describe("NextEpoch", func() {
	ctx := context.Background()

	// Guards against two agents with the same epoch, whose orders the engine could not
	// tell apart.
	It("never returns an epoch twice, even if replies are lost", func() {
		service := table.New()
		service.Faults.Set(fault.Faults{LoseAfter: 2, LoseBefore: 1})
		var mu sync.Mutex
		allocated := map[uint64]int{}
		var agents sync.WaitGroup
		for range 4 {
			agents.Go(func() {
				for range 5 {
					if epoch, err := backend.NextEpoch(ctx, service, "huye-1", 0); err == nil {
						mu.Lock()
						allocated[epoch]++
						mu.Unlock()
					}
				}
			})
		}
		agents.Wait()
		Expect(allocated).NotTo(BeEmpty())
		Expect(allocated).To(HaveEach(1))
	})

	It("returns an epoch above those that the engine accepted while the store was down", func() {
		service := table.New()
		service.Faults.Set(fault.Faults{Down: true})
		_, err := backend.NextEpoch(ctx, service, "huye-1", 6)
		Expect(errors.Is(err, backend.ErrNoEpoch)).To(BeTrue())
		service.Faults.Set(fault.Faults{})
		Expect(backend.NextEpoch(ctx, service, "huye-1", 6)).To(Equal(uint64(7)))
		Expect(backend.NextEpoch(ctx, service, "huye-1", 0)).To(Equal(uint64(8)))
	})
})
