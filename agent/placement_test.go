package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("A placement on two instances", func() {
	now := time.Unix(1000, 0)
	placed := model.Weights{Base: model.Sum([]byte("v2"))}
	var (
		p             *placement
		wanted        []model.Weights
		first, second *session
	)
	BeforeEach(func() {
		wanted, first, second = nil, &session{}, &session{}
		p = &placement{
			declared:  func() (model.Weights, int, bool) { return placed, 2, true },
			setWanted: func(w model.Weights) { wanted = append(wanted, w) },
			ranks:     newRanks(),
		}
	})

	// Guards against a third instance that loads because one entry knows fewer instances.
	It("includes the third instance only after the entries have disagreed for the settle time", func() {
		p.update(now, func(r *ranks) { r.set(now, first, 2) })
		p.update(now, func(r *ranks) { r.set(now, second, 1) })
		p.apply(now.Add(rankSettleTime - 1))
		Expect(wanted).To(Equal([]model.Weights{{}}))
		p.apply(now.Add(rankSettleTime))
		Expect(wanted).To(Equal([]model.Weights{{}, placed}))
	})

	// Guards against an older decision that is applied after a newer one.
	It("applies its decisions one at a time", func() {
		p.setWanted = func(model.Weights) {
			if p.mu.TryLock() {
				p.mu.Unlock()
				Fail("another decision could overtake this one")
			}
		}
		p.update(now, func(r *ranks) { r.set(now, first, 0) })
	})
})
