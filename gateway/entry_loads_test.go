package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("The loads that an entry sends to agents", func() {
	It("are known to the agents", func() {
		// Guards against agents that report a load which has changed, or drop one that has
		// not, because the entry did not send it.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			loads := newEntryLoads()
			now := time.Unix(1000, 0)
			agents := make(map[string]sentLoad)
			for range rapid.IntRange(1, 200).Draw(t, "changes") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				server := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))
				tokens := rapid.IntRange(0, 2).Draw(t, "tokens")
				if loads.changed(server, tokens, now) {
					agents[server] = sentLoad{tokens, now}
				}
				if got := agents[server]; got.prefillTokens != tokens || now.Sub(got.at) >= entryLoadInterval {
					t.Fatalf("the agent knows %d, not %d, since %v", got.prefillTokens, tokens, now.Sub(got.at))
				}
			}
		})
	})

	It("are not sent again unchanged", func() {
		// Guards against a datagram at the end of each request.
		loads := newEntryLoads()
		now := time.Unix(1000, 0)
		Expect(loads.changed("a", 900, now)).To(BeTrue())
		Expect(loads.changed("a", 0, now.Add(time.Millisecond))).To(BeTrue())
		Expect(loads.changed("a", 0, now.Add(2*time.Millisecond))).To(BeFalse())
	})

	It("are remembered for a bounded number of agents", func() {
		loads := newEntryLoads()
		now := time.Unix(1000, 0)
		for i := range 10 * maxEntryLoads {
			now = now.Add(entryLoadInterval / maxEntryLoads)
			loads.changed(fmt.Sprint(i), i, now)
			Expect(len(loads.sent)).To(BeNumerically("<=", 2*maxEntryLoads))
		}
	})
})
