package serving_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = DescribeTable("A configuration replaces the one in force",
	// Guards against a configuration that comes back older, and against one that is ignored
	// because a restored store has lost another one with its number.
	func(version, era int64, route string, expected bool) {
		current := &serving.Config{Version: 8, Era: 1, Revision: 50, Routes: []serving.Route{{Name: "a"}}}
		c := &serving.Config{Version: version, Era: era, Revision: 20, Routes: []serving.Route{{Name: route}}}
		Expect(c.Replaces(current)).To(Equal(expected))
	},
	Entry("a higher version", int64(9), int64(1), "a", true),
	Entry("a higher version of an earlier era", int64(9), int64(0), "a", true),
	Entry("not a lower version", int64(7), int64(1), "b", false),
	Entry("not a lower version of a later era, which will be written again", int64(7), int64(2), "b", false),
	Entry("not the same one", int64(8), int64(1), "b", false),
	Entry("not the same one, read again after a restore", int64(8), int64(2), "a", false),
	Entry("the same version with other contents of a later era", int64(8), int64(2), "b", true),
	Entry("not that of an earlier era", int64(8), int64(0), "b", false),
)
