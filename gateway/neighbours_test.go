package gateway

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Neighbours", func() {
	self := netip.MustParseAddrPort("10.0.0.1:7700")
	addresses := func(n int) []string {
		var list []string
		for i := range n {
			list = append(list, fmt.Sprintf("10.0.0.%d:7700", i+1))
		}
		return list
	}

	It("all get the usage in a small region, and some in a large one", func() {
		// Guards against datagrams that grow with the square of a region's entries.
		now := time.Unix(1000, 0)
		n := neighbours{seen: make(map[netip.AddrPort]time.Time)}
		n.learn(addresses(8), self, now)
		Expect(n.current("a", now)).To(HaveLen(7))
		n.learn(addresses(100), self, now)
		Expect(n.current("a", now.Add(neighbourRefresh))).To(HaveLen(maxNeighbours))
		Expect(n.current("a", now.Add(neighbourRefresh))).NotTo(ContainElement(self))
	})

	It("are forgotten when agents no longer name them", func() {
		now := time.Unix(1000, 0)
		n := neighbours{seen: make(map[netip.AddrPort]time.Time)}
		n.learn(append(addresses(3), "nonsense"), self, now)
		Expect(n.current("a", now)).To(HaveLen(2))
		Expect(n.current("a", now.Add(neighbourTime+time.Second))).To(BeEmpty())
	})
})
