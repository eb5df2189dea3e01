package rollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
)

var _ = Describe("Waves", func() {
	now := time.Unix(0, 0)
	ask := func(w *rollout.Coordinator, n int, g rollout.PoolState) int {
		granted := 0
		for i := range n {
			if p, _ := w.Request(now, model.InstanceID(fmt.Sprint("i", i)), g); p.Valid(now) {
				granted++
			}
		}
		return granted
	}

	It("keeps the declared minimum and enough capacity for the load (guards against overload during a rollout)", func() {
		Expect(ask(rollout.New(rollout.Config{}, 0), 10, rollout.PoolState{Live: 10, MinLive: 8})).To(Equal(2))
		Expect(ask(rollout.New(rollout.Config{}, 0), 10, rollout.PoolState{Live: 10, Capacity: 100, Running: 56})).To(Equal(3))
		Expect(ask(rollout.New(rollout.Config{}, 0), 10, rollout.PoolState{Live: 10})).To(Equal(5), "at most half in one wave")
	})

	It("never goes below the minimum while instances leave, return and die", func() {
		w := rollout.New(rollout.Config{}, 7)
		live := 4
		for wave := range 4 {
			id := model.InstanceID(fmt.Sprint("i", wave))
			p, _ := w.Request(now, id, rollout.PoolState{Live: live, MinLive: 3})
			Expect(p.Valid(now)).To(BeTrue())
			w.MarkStopped(now, id)
			live--
			_, reason := w.Request(now, "other", rollout.PoolState{Live: live, MinLive: 3})
			Expect(reason).To(Equal(rollout.ReasonWave))
			w.Release(id)
			live++
		}
		_, reason := w.Request(now, "other", rollout.PoolState{Live: 3, MinLive: 3})
		Expect(reason).To(Equal(rollout.ReasonMinLive))
	})

	It("ends permits that are not renewed, and a late holder sees it (guards against a paused holder)", func() {
		w := rollout.New(rollout.Config{PermitTTL: time.Second}, 0)
		p, _ := w.Request(now, "a", rollout.PoolState{Live: 2, MinLive: 1})
		later := now.Add(time.Second)
		Expect(p.Valid(later)).To(BeFalse())
		q, _ := w.Request(later, "b", rollout.PoolState{Live: 2, MinLive: 1})
		Expect(q.Valid(later)).To(BeTrue())
		Expect(q.Number).NotTo(Equal(p.Number))
	})
})
