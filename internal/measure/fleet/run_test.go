package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/measure/fleet"
)

var _ = Describe("Run", func() {
	config := func(rate float64) fleet.Config {
		return fleet.Config{Seed: 5, Rates: fleet.EvenRates(rate), Warmup: 5 * time.Second, Window: 10 * time.Second}
	}

	It("depends only on its config", func() {
		// Guards against decisions that depend on map iteration order: runs with
		// the same seed would give different figures.
		Expect(fleet.Run(config(150))).To(Equal(fleet.Run(config(150))))
	})

	It("counts each request once and refuses requests rather than responding late", func() {
		r := fleet.Run(config(260))
		total := r.Total()
		Expect(total.Offered).To(BeNumerically("~", 2600, 200))
		Expect(total.InTime + total.Late + total.Refused).To(Equal(total.Offered))
		Expect(float64(total.Late) / float64(total.Offered)).To(BeNumerically("<", 0.05))
		for _, d := range r.RefusalDelay {
			Expect(d).To(BeNumerically("<=", fleet.FirstTokenTarget))
		}
	})
})
