package operatorrpc_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/auburnbend/auburnbend/entry/operatorrpc"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/wire"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// fixedStatus is a ConfigReplica and FleetStatus that never changes.
type fixedStatus struct {
	view     *config.View
	rollouts []operatorrpc.Rollout
}

func (s fixedStatus) InForce() (*config.View, time.Duration) { return s.view, 0 }
func (s fixedStatus) ApplyAccepted([]byte)                   {}
func (s fixedStatus) Domains() []operatorrpc.DomainStatus    { return nil }
func (s fixedStatus) Rollouts() []operatorrpc.Rollout        { return s.rollouts }
func (s fixedStatus) Instances() []operatorrpc.Instance      { return nil }

// singleResponseStream is a stream that ends after the first response.
type singleResponseStream struct {
	grpc.ServerStream
	ctx      context.Context
	cancel   context.CancelFunc
	response *pb.RolloutStatusResponse
}

func (s *singleResponseStream) Context() context.Context { return s.ctx }

func (s *singleResponseStream) Send(m *pb.RolloutStatusResponse) error {
	s.response = m
	s.cancel()
	return nil
}

var _ = Describe("RolloutStatus", func() {
	inForce := &config.View{Config: &config.Config{}}
	rollout := func(desired, live int) []operatorrpc.Rollout {
		return []operatorrpc.Rollout{{Model: "crest", Version: "v1", DesiredInstances: desired, Phases: map[wire.Phase]int{wire.PhaseLive: live}}}
	}

	// Guards against a rollout that is reported as complete right after an apply, because
	// the change is not in force on the entry or the entry does not know its agents yet.
	DescribeTable("reports completion only if it is certain",
		func(s fixedStatus, version string, complete bool) {
			stream := &singleResponseStream{}
			stream.ctx, stream.cancel = context.WithCancel(context.Background())
			_ = operatorrpc.New(operatorrpc.Config{}, nil, s, s).RolloutStatus(&pb.RolloutStatusRequest{Version: version}, stream)
			Expect(stream.response.GetComplete()).To(Equal(complete))
		},
		Entry("all desired instances are live", fixedStatus{inForce, rollout(2, 2)}, "v1", true),
		Entry("one instance is not live", fixedStatus{inForce, rollout(2, 1)}, "v1", false),
		Entry("one failure domain has no instances", fixedStatus{inForce, append(rollout(0, 0), rollout(2, 2)...)}, "", true),
		Entry("no instance of the pool is known", fixedStatus{inForce, rollout(0, 0)}, "", false),
		Entry("no configuration is in force", fixedStatus{}, "", false),
		Entry("the version is not in force", fixedStatus{inForce, rollout(2, 2)}, "v2", false),
		Entry("the configuration places no version", fixedStatus{inForce, nil}, "", true),
	)
})
