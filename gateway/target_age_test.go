package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

var _ = Describe("The age of a declared version", func() {
	const (
		timeLimit = 8 * time.Second
		grace     = 2500 * time.Millisecond
	)
	var (
		now *clock.Fake
		g   *Gateway
	)

	BeforeEach(func() {
		now = clock.NewFake(time.Unix(1000, 0))
		g = New(Config{Clock: now, Log: eventlog.Discard(), MaxRolloutTime: timeLimit, StartGrace: grace})
	})

	// barredAfter returns the time after which older versions must no longer serve.
	barredAfter := func() time.Duration {
		deadlines := g.versions.Deadlines("m", now.Now())
		Expect(deadlines).To(HaveLen(1))
		Expect(deadlines[0].Version).To(Equal(2))
		return deadlines[0].At.Sub(now.Now())
	}

	It("counts from the declaration and not from when the entry learns of it", func() {
		// Guards against an entry that was frozen and then allows older weights for the whole time again.
		g.SetTargetVersion("m", 2, 3500*time.Millisecond)
		Expect(barredAfter()).To(Equal(timeLimit - 3500*time.Millisecond))
	})

	It("counts the time for which the machine is suspended", func() {
		g.SetTargetVersion("m", 2, 0)
		now.Advance(time.Second)
		g.Suspended(3 * time.Second)
		Expect(barredAfter()).To(Equal(4 * time.Second))
	})

	It("is as high as possible after a start", func() {
		// Guards against an entry that restarts and allows older weights for 0.4 of the time
		// limit, which may be longer than the time for which it is out of touch.
		now.Advance(time.Second)
		g.SetEarlierVersion("m", 2)
		Expect(barredAfter()).To(Equal(grace - time.Second))
	})

	It("bars older weights at once if the table is first read late", func() {
		now.Advance(time.Minute)
		g.SetEarlierVersion("m", 2)
		Expect(g.versions.MinVersion("m", now.Now())).To(Equal(2))
	})
})
