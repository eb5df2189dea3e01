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
		Entry("routes that no key opens", false, serving.Config{Routes: []serving.Route{{Priority: 3}, {}}, Teams: []serving.Team{}}),
		Entry("a public route", true, serving.Config{
			Routes: []serving.Route{{Public: true}}, Teams: []serving.Team{{HasPriority: true, Priority: 1}},
		}),
		Entry("teams", true, serving.Config{Teams: []serving.Team{{HasPriority: true, Priority: 1}, {HasPriority: true}}}),
		Entry("a team and a route", true, serving.Config{
			Routes: []serving.Route{{Priority: 2}}, Teams: []serving.Team{{}, {HasPriority: true, Priority: 1}},
		}),
	)

	DescribeTable("of any size are mapped to the range in their order",
		func(declared, levels []int) {
			byRank := serving.RankLevels(declared)
			mapped := make([]int, len(declared))
			for i, rank := range declared {
				mapped[i] = byRank[rank]
			}
			Expect(mapped).To(Equal(levels))
		},
		Entry("none", []int{}, []int{}),
		Entry("within the range", []int{9, 0, 5, 5}, []int{9, 0, 5, 5}),
		Entry("one above it", []int{10}, []int{9}),
		Entry("some above it", []int{1, 9, 10, 500, 1}, []int{1, 7, 8, 9, 1}),
		Entry("below it", []int{-3, -1, 0, 1}, []int{0, 0, 0, 1}),
		Entry("all ten", []int{10, 20, 30, 40, 50, 60, 70, 80, 90, 100}, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}),
		Entry("more than ten", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9, 9}),
	)
})
