package soak

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

var _ = Describe("The daemons", Ordered, func() {
	var binaries Binaries

	BeforeAll(func() {
		build := func(name string) string {
			path, err := gexec.Build("github.com/auburnbend/auburnbend/cmd/" + name)
			Expect(err).NotTo(HaveOccurred())
			return path
		}
		binaries = Binaries{Gateway: build("auburnbend-gateway"), Replica: build("auburnbend-replica")}
		DeferCleanup(gexec.CleanupBuildArtifacts)
	})

	DescribeTable("keep their promises under faults",
		// Guards against what the soak is for; each seed that has failed stays here,
		// with its cause.
		func(seed uint64, busy time.Duration) {
			report, err := Run(context.Background(), Options{
				Seed: seed, Slot: 200, Dir: GinkgoT().TempDir(), Binaries: binaries, Busy: busy, Trace: GinkgoWriter,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Violations).To(BeEmpty())
			Expect(report.Answered).To(BeNumerically(">", report.Requests/4))
		},
		Entry("first seed", uint64(1), 8*time.Second),
		// The soak's own callers went to an entry that the balancer had left.
		Entry("entry that stops", uint64(116), 10*time.Second),
	)
})
