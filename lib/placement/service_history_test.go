package placement

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
)

var _ = Describe("The history of a service", func() {
	It("is dropped once the service has had no servers and no requests for long", func() {
		// Guards against memory that grows with each service that has existed.
		now, d := time.Unix(1000, 0), directory.New()
		p := New(Config{Domain: "north", Regions: map[string]string{"north": "n"}}, d, rand.New(rand.NewPCG(1, 1)))
		d.Put(&directory.Server{ID: "a", Service: "desk", Address: "a", Domain: "north", Slots: 4})
		l, refusal := p.Pick(Request{Service: "desk"}, now)
		Expect(refusal).To(BeNil())
		p.Done(l, Answered, now)
		p.Prune(now.Add(time.Hour))
		Expect(p.histories).To(HaveLen(1))
		d.Remove("a", false, now)
		p.Prune(now.Add(time.Minute))
		Expect(p.histories).To(HaveLen(1))
		p.Prune(now.Add(time.Hour))
		Expect(p.histories).To(BeEmpty())
	})
})
