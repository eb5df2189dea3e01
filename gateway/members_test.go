package gateway

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Members of a region", func() {
	self := netip.MustParseAddrPort("10.0.0.1:7700")
	addresses := func(n int) []string {
		var list []string
		for i := range n {
			list = append(list, fmt.Sprintf("10.0.0.%d:7700", i+1))
		}
		return list
	}
	now := time.Unix(1000, 0)

	It("are ranked in the same order by every member", func() {
		// Guards against entries that choose different placers.
		var orders [][]netip.AddrPort
		for _, text := range addresses(30) {
			m := newMembers(netip.MustParseAddrPort(text))
			m.observe(append(addresses(30), "nonsense"), now)
			orders = append(orders, m.rank("k", now))
		}
		Expect(orders[0]).To(HaveLen(30))
		for _, order := range orders {
			Expect(order).To(Equal(orders[0]))
		}
	})

	It("expire when agents no longer name them, later for the retry budget", func() {
		// Guards against a retry share that grows while other entries are cut off: they
		// continue to use theirs.
		m := newMembers(self)
		m.observe(addresses(3), now)
		Expect(m.rank("k", now)).To(HaveLen(3))
		later := now.Add(memberTTL + time.Second)
		Expect(m.rank("k", later)).To(ConsistOf(self))
		Expect(m.count()).To(Equal(3))
		m.rank("k", now.Add(budgetMemberTTL+time.Second))
		Expect(m.count()).To(Equal(1))
	})
})
