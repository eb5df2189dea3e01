package rendezvous_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

var _ = Describe("Owner", func() {
	members := []string{"a", "b", "c", "d", "e", "f", "g", "h"}

	It("distributes keys evenly and moves only the keys of a removed member", func() {
		// Guards against moving trackers to other members unnecessarily.
		counts := make(map[string]int)
		without := slices.Delete(slices.Clone(members), 3, 4)
		for i := range 8000 {
			key := fmt.Sprint("key-", i)
			before, _ := rendezvous.Owner(key, members)
			after, _ := rendezvous.Owner(key, without)
			counts[before]++
			if before != "d" {
				Expect(after).To(Equal(before))
			}
		}
		for _, m := range members {
			Expect(counts[m]).To(BeNumerically("~", 1000, 150))
		}
	})

	It("does not depend on the order of members and accepts an empty set", func() {
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		Expect(rendezvous.Rank("k", reversed, 8)).To(Equal(rendezvous.Rank("k", members, 8)))
		_, ok := rendezvous.Owner("k", []string{})
		Expect(ok).To(BeFalse())
	})
})
