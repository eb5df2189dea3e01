package rollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
)

var _ = Describe("Coordinator", func() {
	now := time.Unix(0, 0)
	// grants returns how many of n instances get a permit.
	grants := func(c *rollout.Coordinator, n int, state rollout.PoolState) int {
		granted := 0
		for i := range n {
			if p, _ := c.Request(now, model.InstanceID(fmt.Sprint("i", i)), state); p.Valid(now) {
				granted++
			}
		}
		return granted
	}

	// Guards against overload during a rollout.
	It("keeps the declared minimum and enough capacity for the load", func() {
		Expect(grants(rollout.New(rollout.Config{}, 0), 10, rollout.PoolState{Live: 10, MinLive: 8})).To(Equal(2))
		Expect(grants(rollout.New(rollout.Config{}, 0), 10, rollout.PoolState{Live: 10, Capacity: 100, Running: 56})).To(Equal(3))
		Expect(grants(rollout.New(rollout.Config{}, 0), 10, rollout.PoolState{Live: 10})).To(Equal(5), "a wave takes at most half of the instances")
	})

	It("keeps the minimum while instances stop and return", func() {
		c := rollout.New(rollout.Config{}, 7)
		live := 4
		for wave := range 4 {
			id := model.InstanceID(fmt.Sprint("i", wave))
			p, _ := c.Request(now, id, rollout.PoolState{Live: live, MinLive: 3})
			Expect(p.Valid(now)).To(BeTrue())
			c.MarkStopped(now, id)
			live--
			_, reason := c.Request(now, "other", rollout.PoolState{Live: live, MinLive: 3})
			Expect(reason).To(Equal(rollout.ReasonWave))
			c.Release(id)
			live++
		}
		_, reason := c.Request(now, "other", rollout.PoolState{Live: 3, MinLive: 3})
		Expect(reason).To(Equal(rollout.ReasonMinLive))
	})

	// Guards against a holder that was paused and acts on an expired permit.
	It("expires permits that are not renewed, so that their holders see them as invalid", func() {
		c := rollout.New(rollout.Config{PermitTTL: time.Second}, 0)
		p, _ := c.Request(now, "a", rollout.PoolState{Live: 2, MinLive: 1})
		later := now.Add(time.Second)
		Expect(p.Valid(later)).To(BeFalse())
		q, _ := c.Request(later, "b", rollout.PoolState{Live: 2, MinLive: 1})
		Expect(q.Valid(later)).To(BeTrue())
		Expect(q.Number).NotTo(Equal(p.Number))
	})
})
