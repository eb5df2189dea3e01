package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
)

var _ = Describe("ApplyList", func() {
	It("sets the pool of agents that never connected", func() {
		// Guards against connection subsets that contain no agents of a pool,
		// because the pools of listed agents are unknown.
		v := member.New(member.Config{})
		listed := backing.Instance{ID: "a", Role: backing.RoleAgent, Address: "a", Pool: "booking"}
		v.ApplyList(time.Unix(0, 0), []backing.Instance{listed})
		Expect(v.Members(backing.RoleAgent)[0].Pool).To(Equal("booking"))
	})
})
