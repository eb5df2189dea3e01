package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/admit"
)

var _ = Describe("The latest time at which a request is dispatched", func() {
	arrival := time.Unix(1000, 0)
	deadline := arrival.Add(10 * time.Second)

	It("leaves the usual time until the first frame before the deadline", func() {
		// Guards against a request that is dispatched as its time limit ends and runs after it.
		var e admit.StartEstimator
		Expect(e.BeginBy(arrival, deadline)).To(Equal(deadline), "nothing is known")
		e.Observe(100 * time.Millisecond)
		Expect(e.BeginBy(arrival, deadline)).To(Equal(deadline.Add(-200 * time.Millisecond)))
	})

	It("leaves most of the time limit for the queue", func() {
		// Guards against an estimate that refuses all requests of a service.
		var e admit.StartEstimator
		e.Observe(time.Minute)
		Expect(e.BeginBy(arrival, deadline)).To(Equal(deadline.Add(-2500 * time.Millisecond)))
	})
})
