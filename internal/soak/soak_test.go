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
		// Guards against what the soak is for. What has failed once stays here as the
		// steps that did it, as the steps of a seed change with the kinds of steps.
		func(seed uint64, busy time.Duration, steps []Step) {
			result, err := Run(context.Background(), Options{
				Seed: seed, Slot: 200, Dir: GinkgoT().TempDir(), Binaries: binaries, StepWindow: busy, Steps: steps, Trace: GinkgoWriter,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Violations).To(BeEmpty())
			Expect(result.Answered).To(BeNumerically(">", result.Requests/4))
		},
		Entry("drawn steps", uint64(1), 8*time.Second, nil),
		// The soak's own callers went to an entry that the balancer had left.
		Entry("an entry that stops", uint64(116), 3*time.Second, []Step{{Kind: StopEntry, Start: firstStep, Duration: time.Second, Target: 2}}),
	)
})
