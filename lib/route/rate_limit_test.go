package route_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/route"
)

var _ = Describe("An instance with a rate limit", func() {
	request := func() *route.Request { return &route.Request{Pool: "model", Weights: oldWeights} }

	It("gets one request per interval, and others get the rest", func() {
		// Guards against an idle limited instance that every entry prefers.
		p := newPicker(route.Config{})
		for _, id := range []string{"a", "b"} {
			p.Update(start, instance(id, oldWeights))
		}
		p.RecordLoad(start, keyOf("a"), route.LoadReport{MinInterval: time.Second})
		p.RecordLoad(start, keyOf("b"), route.LoadReport{})
		Expect(shares(p, start.Add(time.Minute), request(), 50)["a"]).To(BeNumerically("<=", 1))
		Expect(shares(p, start.Add(62*time.Second), request(), 50)["a"]).To(Equal(1))
		p.RecordLoad(start.Add(62*time.Second), keyOf("a"), route.LoadReport{})
		Expect(shares(p, start.Add(62*time.Second), request(), 50)["a"]).To(BeNumerically(">", 10))
	})

	It("causes refusals with the time until its next request if there is no other", func() {
		p := newPicker(route.Config{})
		p.Update(start, instance("a", oldWeights))
		p.RecordLoad(start, keyOf("a"), route.LoadReport{MinInterval: 5 * time.Second})
		shares(p, start, request(), 1)
		_, err := p.Pick(start.Add(time.Second), request())
		var refusal *route.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.RetryAfter).To(Equal(4 * time.Second))
	})
})
