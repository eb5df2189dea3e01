package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/relay"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

var _ = Describe("Following the store", func() {
	DescribeTable("notices a lost connection before its bounds hold again",
		// Guards against a configuration that is not in force in time because a call
		// waited on a connection that delivered nothing more, and against calls that
		// end more often than the bounds need: each one is paid for.
		func(stall, bound time.Duration) {
			b := platform.Bounds{StallTime: stall, ConfigTime: bound, DrainTime: bound}
			for _, c := range []relay.Config{operatorRelay(&b), serversRelay(&b)} {
				Expect(c.Wait + watch.ResponseTimeout).To(BeNumerically("<", stall+bound))
				Expect(c.Wait + watch.ResponseTimeout).To(BeNumerically(">=", stall+bound-time.Second))
				Expect(c.BatchDelay).To(BeNumerically("<=", bound/2))
			}
		},
		Entry("small deployment", 3*time.Second, 2*time.Second),
		Entry("large deployment", 4*time.Second, 3*time.Second),
	)

	It("falls back to the defaults without bounds", func() {
		Expect(operatorRelay(&platform.Bounds{}).Wait).To(BeZero())
	})
})
