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

	It("share the region's part of a rate limit", func() {
		// Guards against entries that together use more than the limit because each takes
		// itself for the one that places requests.
		for _, n := range []int{2, 5, 30} {
			sum := 0.0
			for _, text := range addresses(n) {
				m := newMembers(netip.MustParseAddrPort(text))
				Expect(m.limitShare(16, now)).To(Equal(1.0 / 16))
				m.observe(addresses(n), now)
				later := now.Add(rankRefreshInterval)
				sum += m.limitShare(16, later)
				// An entry that is cut off from all others.
				cutOff := later.Add(memberTTL + time.Second)
				Expect(m.limitShare(16, cutOff)).To(BeNumerically("~", 1/float64(n), 1e-9))
			}
			Expect(sum).To(BeNumerically("~", 1, 1e-9))
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
