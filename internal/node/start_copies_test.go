package node

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform"
)

var _ = Describe("Entries that are restarted one after another", func() {
	It("take the operator's table from the others of their region", func() {
		// Guards against entries that each read a large configuration over the link of their
		// region when they start, so that the copies delay a new version.
		const large = 400_000
		s := newDeployment(107, 10, 6, 1)
		s.store.Put(platform.TableOperator, "large", strings.Repeat("x", large))
		time.Sleep(2 * stabilityTime)
		before := s.store.RowBytes()
		// All of them, so that the first in the order is among them.
		for i := range s.entries {
			s.restart(i)
		}
		Expect(s.store.RowBytes()-before).To(BeNumerically("<", large), "no copy")
	})
})
