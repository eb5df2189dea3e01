package soak

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// poisonPartWindow is the shortest window in which a step with a poison part fits.
const poisonPartWindow = firstStepStart + poisonPartDuration

// poisonPartTimes returns n times: those of the first partCrashes are close to each other,
// later ones are more than stabilityTime after them.
func poisonPartTimes(n int) []time.Duration {
	var times []time.Duration
	for i := range n {
		at := 20*time.Second + time.Duration(i)*100*time.Millisecond
		if i >= partCrashes {
			at += stabilityTime + 100*time.Millisecond
		}
		times = append(times, at)
	}
	return times
}

// addPoisonPart adds a step that sends requests with poisonPart, and such requests that
// crash one server each.
func (f *fixture) addPoisonPart(times ...time.Duration) {
	f.check.steps = append(f.check.steps, Step{Kind: SendPoisonPart, Start: 19 * time.Second, Duration: 30 * time.Second})
	for i, at := range times {
		o := f.outcome
		o.call.AttemptID = fmt.Sprint("poison-", i)
		o.call.Parts = []platformtest.Part{{ID: firstPart}, {ID: poisonPart}, {ID: uint64(i)}}
		o.sent, o.ended, o.response = at, at+50*time.Millisecond, platformtest.Response{Status: 502}
		f.otherOutcomes = append(f.otherOutcomes, o)
		r := f.run
		r.AttemptID, r.Parts, r.Server, r.StartedAt = o.call.AttemptID, o.call.Parts, fmt.Sprint("crashed-", i), f.check.recorder.started.Add(at)
		f.check.recorder.RunStarted(r)
		f.check.recorder.events = append(f.check.recorder.events, serverEvent{kind: eventArrived, server: r.Server, attempt: r.AttemptID, at: at})
	}
}

// addRefused adds minSoundRequests requests that are refused from a point in time on.
func (f *fixture) addRefused(from time.Duration) {
	for i := range minSoundRequests {
		o := f.outcome
		o.call.AttemptID = fmt.Sprint("refused-", i)
		o.call.Parts = promptOf(o.call.AttemptID, i, ownTokens)
		o.sent, o.response = from+time.Duration(i)*50*time.Millisecond, platformtest.Response{Status: 503}
		o.ended = o.sent + time.Millisecond
		f.otherOutcomes = append(f.otherOutcomes, o)
	}
}

var _ = Describe("NewPlan for a long window", func() {
	It("has a step with a poison part for some seeds", func() {
		// Guards against a step that no seed plays.
		count := 0
		for seed := range uint64(100) {
			for _, s := range NewPlan(seed, poisonPartWindow) {
				if s.Kind == SendPoisonPart {
					count++
				}
			}
		}
		Expect(count).To(BeNumerically("~", 50, 20))
	})
})
