package soak

import (
	"cmp"
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/auburnbend/auburnbend/platform/platformtest"
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

	DescribeTable("pass all checks under faults",
		// Guards against the failures that the checks detect. Runs that have failed are
		// listed with their steps, because the steps that a seed yields change whenever a
		// kind of step is added.
		func(seed uint64, window time.Duration, steps []Step) {
			result, err := Run(context.Background(), Options{
				Seed: seed, Slot: 200, Dir: GinkgoT().TempDir(), Binaries: binaries, StepWindow: window, Steps: steps, Trace: GinkgoWriter,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Violations).To(BeEmpty())
			Expect(result.Answered).To(BeNumerically(">", result.Requests/4))
		},
		Entry("random steps", uint64(1), 8*time.Second, nil),
		// Before it was checked what continues a stream, callers got the text of errors, events
		// twice and ends that were none.
		Entry("streams that break off", uint64(117), 4*time.Second, []Step{{Kind: EnginesBreakStreams, Start: firstStepStart, Duration: 2500 * time.Millisecond}}),
		// Engines took pieces that had been corrupt for 3.5 s: their agents verified pieces
		// long before the orders.
		Entry("slow staging while staged pieces turn corrupt", uint64(32009), 10*time.Second, []Step{
			{Kind: DeclareVersion, Start: 2 * time.Second},
			{Kind: SlowStaging, Start: 2 * time.Second, Duration: 7 * time.Second},
			{Kind: CorruptPiecesOften, Start: 2 * time.Second, Duration: 7 * time.Second, Target: 63},
		}),
		// Entries without a report of an engine's agent went by the row, which the engine writes.
		Entry("late orders to load corrupt pieces while reports are lost", uint64(88002), 16*time.Second, []Step{
			{Kind: DeclareVersion, Start: firstStepStart},
			{Kind: DelayOrdersLong, Start: firstStepStart, Duration: 8 * time.Second},
			{Kind: CorruptAfterOrders, Start: firstStepStart, Duration: 8 * time.Second, Target: 56},
			{Kind: LoseReports, Start: 3900 * time.Millisecond, Duration: 8300 * time.Millisecond, Target: 30},
			{Kind: OriginLink, Start: 8500 * time.Millisecond, Duration: 3400 * time.Millisecond, Target: 25, LinkFault: LinkReset},
		}),
		// Entries that were frozen counted the time limit of a version from their waking, and
		// sent requests to engines that the second version had made skip the first.
		Entry("entries that are frozen while versions are declared", uint64(4), 10*time.Second, frozenDeclarations()),
		// Requests that had run were sent to another server, or refused as not run.
		Entry("servers that send earlier refusals before their responses", uint64(117), 6*time.Second, earlierRefusals()),
		// Nothing recognized the part.
		Entry("requests with a part of prompts that crashes servers", uint64(2), poisonPartWindow, []Step{
			{Kind: SendPoisonPart, Start: firstStepStart, Duration: poisonPartDuration},
		}),
		Entry("streams with a part of prompts that crashes engines", uint64(3), poisonPartWindow, []Step{
			{Kind: SendPoisonPart, Start: firstStepStart, Duration: poisonPartDuration, Target: 2},
		}),
		// After a cut, entries put each configuration that they had missed in force, one after another.
		Entry("many configurations while an entry is cut off", uint64(4), firstStepStart+behindCutDuration, []Step{
			{Kind: ConfigsBehindCut, Start: firstStepStart, Duration: behindCutDuration, LinkFault: LinkBlackhole},
		}),
		// The callers of the test kept using an entry longer than the load balancer does.
		Entry("a store that is restored between configurations", uint64(5), 8*time.Second, restoredConfigs()),
		Entry("an entry that stops", uint64(116), 3*time.Second, []Step{{Kind: StopEntry, Start: firstStepStart, Duration: time.Second, Target: 2}}),
	)
})

// frozenDeclarations returns steps in which two versions are declared while no entry runs.
func frozenDeclarations() []Step {
	start := 2 * time.Second
	steps := []Step{
		{Kind: DeclareVersion, Start: start},
		{Kind: DeclareVersion, Start: start + 2*time.Second},
		{Kind: SlowStaging, Start: start, Duration: 8 * time.Second},
	}
	for entry := range entryCount {
		steps = append(steps, Step{Kind: PauseEntry, Target: entry, Start: start - 100*time.Millisecond, Duration: 2500 * time.Millisecond})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Start, b.Start) })
	return steps
}

// earlierRefusals returns steps in which each server, one after another, sends refusals
// of earlier requests, and then refusals that name no request.
func earlierRefusals() []Step {
	var steps []Step
	for _, fault := range []platformtest.Fault{platformtest.FaultRepeatedRefusal, platformtest.FaultAnonymousRefusal} {
		for server := range engineCount + plainCount {
			steps = append(steps, Step{
				Kind: ServerMisbehaves, Start: firstStepStart + time.Duration(len(steps))*250*time.Millisecond, Duration: 500 * time.Millisecond,
				Target: server + (engineCount+plainCount)*int(fault-platformtest.FaultDuplicate),
			})
		}
	}
	return steps
}
