package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/versions"
)

var _ = Describe("Servers behind a narrow link", func() {
	It("get no requests on older weights that may wait on the link until the deadline", func() {
		// Guards against requests that reach their server after its weights have become too
		// old: they had waited for over a second behind pieces of the new version.
		now := time.Unix(1000, 0)
		d := directory.New()
		p := placement.New(placement.Config{}, d, rand.New(rand.NewPCG(1, 1)))
		key := directory.Key{ID: "a"}
		d.Put(&directory.Server{ID: "a", Service: "s", Address: "a", Slots: 16, Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}}})
		p.RecordVerified(key, placement.VerifiedWeights{Model: "m", Version: 1, Until: now.Add(time.Hour)})
		req := placement.Request{Service: "s", Engine: engine, Model: "m", PromptTokens: 1000, VersionDeadlines: versions.Deadlines{{Version: 2, At: now.Add(time.Second)}}}
		p.Report(key, placement.Load{}, now)
		lease, refusal := p.Pick(req, now)
		Expect(refusal).To(BeNil())
		p.Done(lease, placement.Answered, now)

		p.Report(key, placement.Load{LinkDelay: 400 * time.Millisecond}, now)
		_, refusal = p.Pick(req, now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(placement.NoWeights))

		req.VersionDeadlines[0].Version = 1
		_, refusal = p.Pick(req, now)
		Expect(refusal).To(BeNil(), "weights that stay new enough")
	})
})
