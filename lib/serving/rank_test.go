package serving_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("Ranks", func() {
	It("are those of the team, and of the route where the team declares none", func() {
		route := &serving.Route{Priority: 2}
		Expect(serving.Rank(route, nil)).To(Equal(2))
		Expect(serving.Rank(route, &serving.Team{Priority: 7})).To(Equal(2))
		Expect(serving.Rank(route, &serving.Team{HasPriority: true})).To(Equal(0))
	})

	DescribeTable("are in use only if they differ",
		// Guards against other decisions in deployments whose requests are all equally urgent.
		func(ranked bool, c serving.Config) {
			for i := range c.Routes {
				if c.Routes[i].Targets == nil {
					c.Routes[i].Targets = []serving.Target{{Service: "desk"}}
				}
			}
			Expect(serving.NewTable(&c).Ranked("desk")).To(Equal(ranked))
		},
		Entry("nothing", false, serving.Config{}),
		Entry("equal routes", false, serving.Config{Routes: []serving.Route{{Priority: 3}, {Priority: 3}}}),
		Entry("routes", true, serving.Config{Routes: []serving.Route{{Priority: 3}, {}}}),
		Entry("routes to different services", false, serving.Config{Routes: []serving.Route{
			{Priority: 3}, {Targets: []serving.Target{{Service: "drafts"}}},
		}}),
		Entry("routes that teams override", false, serving.Config{
			Routes: []serving.Route{{Priority: 3}, {}}, Teams: []serving.Team{{HasPriority: true, Priority: 1}},
		}),
		Entry("a public route", true, serving.Config{
			Routes: []serving.Route{{Public: true}}, Teams: []serving.Team{{HasPriority: true, Priority: 1}},
		}),
		Entry("teams", true, serving.Config{Teams: []serving.Team{{HasPriority: true, Priority: 1}, {HasPriority: true}}}),
		Entry("a team and a route", true, serving.Config{
			Routes: []serving.Route{{Priority: 2}}, Teams: []serving.Team{{}, {HasPriority: true, Priority: 1}},
		}),
	)
})
