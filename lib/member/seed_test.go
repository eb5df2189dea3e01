package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
)

var _ = Describe("Seed", func() {
	It("knows the pool of agents that it never connected to", func() {
		// Guards against subsets that leave an entry without agents of a pool.
		v := member.New(member.Config{})
		listed := backing.Instance{ID: "a", Role: backing.RoleAgent, Address: "a", Pool: "booking"}
		v.ApplyList(time.Unix(0, 0), []backing.Instance{listed})
		Expect(v.Members(backing.RoleAgent)[0].Pool).To(Equal("booking"))
	})
})
