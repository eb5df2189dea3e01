package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/platform"
)

var _ = Describe("Seed", func() {
	It("knows the pool of agents that it never connected to", func() {
		// Guards against subsets that leave an entry without agents of a pool.
		v := member.New(member.Config{})
		listed := platform.Instance{ID: "a", Role: platform.RoleAgent, Address: "a", Pool: "booking"}
		v.Seed(time.Unix(0, 0), []platform.Instance{listed})
		Expect(v.Members(platform.RoleAgent)[0].Pool).To(Equal("booking"))
	})
})
