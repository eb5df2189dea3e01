package serving_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = DescribeTable("CommonHomes allows the regions that are in all lists",
	// Guards against one of two lists being ignored, and against two lists without a common
	// region being taken for no restriction.
	func(route, team []string, allowed, denied []string) {
		homes := serving.CommonHomes(route, team)
		for _, region := range allowed {
			Expect(homes.Allow(region)).To(BeTrue(), region)
		}
		for _, region := range denied {
			Expect(homes.Allow(region)).To(BeFalse(), region)
		}
	},
	Entry("no lists", nil, nil, []string{"a", "b", ""}, nil),
	Entry("empty lists", []string{}, []string{}, []string{"a", ""}, nil),
	Entry("list of the route", []string{"a"}, nil, []string{"a"}, []string{"b", ""}),
	Entry("list of the team", nil, []string{"a", "c"}, []string{"a", "c"}, []string{"b", ""}),
	Entry("both", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}, []string{"a", "c", ""}),
	Entry("nothing in common", []string{"a"}, []string{"b"}, nil, []string{"a", "b", ""}),
)
