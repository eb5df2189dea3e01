package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Steps that restore the store", func() {
	It("end within the window, with a change of the configuration after each", func() {
		const window = 14 * time.Second
		restores := 0
		for seed := range uint64(100) {
			var last time.Duration
			for _, s := range newStoreRestoredSteps(seed, window) {
				Expect(s.Start).To(BeNumerically(">=", firstStepStart))
				Expect(s.Start + s.Duration).To(BeNumerically("<=", window))
				if s.Kind == StoreRestored {
					restores++
					last = s.Start + s.Duration
				} else if s.Start >= last {
					last = 0
				}
			}
			Expect(last).To(BeZero(), "seed %d", seed)
			Expect(newStoreRestoredSteps(seed, firstStepStart+restoredDuration)).To(BeEmpty())
		}
		Expect(restores).To(BeNumerically(">", 20))
	})
})

// restoredConfigs returns steps that restore the store after so many configurations that
// what is written again takes fewer revisions, and one configuration afterwards.
func restoredConfigs() []Step {
	steps := []Step{{Kind: StoreRestored, Start: firstStepStart, Duration: restoredDuration}}
	for i := range 20 {
		steps = append(steps, Step{Kind: ChangeConfig, Start: firstStepStart + time.Duration(i+1)*100*time.Millisecond})
	}
	steps = append(steps, Step{Kind: DrainServer, Start: firstStepStart + 2200*time.Millisecond, Target: 6})
	return append(steps, Step{Kind: ChangeConfig, Start: firstStepStart + restoredDuration + time.Second})
}
