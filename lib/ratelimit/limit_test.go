package ratelimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

var _ = DescribeTable("Parse",
	func(values []string, expected ratelimit.Statement) {
		Expect(ratelimit.Parse(values)).To(Equal(expected))
	},
	Entry("no header", nil, ratelimit.Statement{Known: true}),
	Entry("a decimal number", []string{" 1.7 "}, ratelimit.Statement{Known: true, PerSecond: 1.7}),
	Entry("the lowest of several", []string{"3", "2.5", "x"}, ratelimit.Statement{Known: true, PerSecond: 2.5}),
	Entry("zero", []string{"0"}, ratelimit.Statement{Known: true, PerSecond: 0.1}),
	Entry("overflowing", []string{"1e400"}, ratelimit.Statement{Known: true, PerSecond: 1e6}),
	Entry("negative", []string{"-1"}, ratelimit.Statement{}),
	Entry("NaN", []string{"NaN"}, ratelimit.Statement{}),
	Entry("text", []string{"low"}, ratelimit.Statement{}),
	Entry("empty", []string{""}, ratelimit.Statement{}),
)

var _ = Describe("Limit", func() {
	start := time.Unix(1000, 0)
	limited := ratelimit.Statement{Known: true, PerSecond: 2}
	unlimited := ratelimit.Statement{Known: true}

	It("is not lifted by the response to a request that was sent before the limit arrived", func() {
		// Guards against responses of other connections that arrive late.
		var l ratelimit.Limit
		Expect(l.Observe(limited, start, start.Add(10*time.Millisecond))).To(BeTrue())
		Expect(l.Observe(unlimited, start.Add(5*time.Millisecond), start.Add(time.Second))).To(BeFalse())
		Expect(l.PerSecond).To(Equal(2.0))
		Expect(l.Observe(unlimited, start.Add(20*time.Millisecond), start.Add(time.Second))).To(BeTrue())
		Expect(l.PerSecond).To(BeZero())
	})

	It("ignores older statements of other entries and unusable ones", func() {
		var l ratelimit.Limit
		Expect(l.Merge(2, start)).To(BeTrue())
		Expect(l.Merge(5, start.Add(-time.Second))).To(BeFalse())
		Expect(l.Observe(ratelimit.Statement{}, start, start.Add(time.Second))).To(BeFalse())
		Expect(l.Merge(3, start.Add(time.Second))).To(BeTrue())
		Expect(l.PerSecond).To(Equal(3.0))
	})

	It("returns the interval for a share", func() {
		l := ratelimit.Limit{PerSecond: 2}
		interval, ok := l.Interval(0.25)
		Expect(ok).To(BeTrue())
		Expect(interval).To(Equal(2 * time.Second))
		_, ok = l.Interval(0)
		Expect(ok).To(BeFalse())
	})
})
