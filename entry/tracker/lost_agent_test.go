package tracker_test

import (
	"bytes"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/tracker"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// discardSender discards all messages.
type discardSender struct{}

func (discardSender) TrySend(wire.Message) error { return nil }

var _ = Describe("Tracker that loses an agent", func() {
	manifest := model.Digest{1}
	var lines bytes.Buffer
	var service *tracker.Service

	BeforeEach(func() {
		lines.Reset()
		service = tracker.New(tracker.Config{
			Clock: clock.NewFake(time.Unix(0, 0)), Seed: 1, Log: eventlog.New(log.NewLogfmtLogger(&lines)),
		})
	})

	// Guards against rollouts that count an instance as live after its agent
	// has gone, and against false reports of lost agents: an agent also leaves
	// a tracker when it stops or changes its target version.
	DescribeTable("drops the agent's status and logs a loss only during a transfer",
		func(phase wire.Phase, logged int) {
			agent := service.Attach(wire.Hello{Role: wire.RoleAgent, Identity: model.Identity{Instance: "a1", Address: "127.0.0.1:1"}}, discardSender{})
			agent.Handle(&wire.Announce{Manifest: manifest})
			agent.Handle(&wire.TransferStatus{Manifest: manifest, Phase: phase})
			Expect(service.Report().Instances).To(HaveLen(1))
			agent.Detach()
			Expect(service.Report().Instances).To(BeEmpty())
			Expect(bytes.Count(lines.Bytes(), []byte("event=3101 "))).To(Equal(logged))
		},
		Entry("while the agent fetches chunks", wire.PhaseFetching, 1),
		Entry("after the agent has verified all chunks", wire.PhaseVerified, 0),
		Entry("while the agent serves the version", wire.PhaseLive, 0),
	)
})
