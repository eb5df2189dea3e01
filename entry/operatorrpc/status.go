package operatorrpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/schema/convert"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// ConfigStatus implements pb.OperatorServer.
func (s *Server) ConfigStatus(context.Context, *pb.ConfigStatusRequest) (*pb.ConfigStatusResponse, error) {
	view, age := s.replica.InForce()
	if view == nil {
		view = &config.View{}
	}
	response := &pb.ConfigStatusResponse{Revision: convert.HeadToMessage(view.Head), Age: durationpb.New(age)}
	for _, d := range s.status.Domains() {
		response.Domains = append(response.Domains, &pb.DomainStatus{
			FailureDomain: string(d.Domain), Lowest: convert.HeadToMessage(d.Lowest), Highest: convert.HeadToMessage(d.Highest),
			Age: durationpb.New(d.ConfigAge), Processes: int32(d.Processes), Heard: durationpb.New(d.SinceHeartbeat),
		})
	}
	return response, nil
}

// Instances implements pb.OperatorServer.
func (s *Server) Instances(_ context.Context, m *pb.InstancesRequest) (*pb.InstancesResponse, error) {
	response := &pb.InstancesResponse{}
	for _, i := range s.status.Instances() {
		location := i.Identity.Location
		if m.GetFailureDomain() != "" && m.GetFailureDomain() != string(location.FailureDomain) || m.GetPool() != "" && m.GetPool() != i.Pool {
			continue
		}
		role := "agent"
		if i.Role == wire.RoleEntry {
			role = "entry"
		}
		message := &pb.Instance{
			Id: string(i.Identity.Instance), Role: role, Region: string(location.Region), FailureDomain: string(location.FailureDomain),
			Pool: i.Pool, Address: i.Identity.Address, State: i.State, Revision: i.Revision,
			Running: int32(i.Running), Queued: int32(i.Queued), Heard: durationpb.New(i.SinceHeartbeat),
		}
		for _, w := range i.Weights {
			message.Weights = append(message.Weights, w.String())
		}
		response.Instances = append(response.Instances, message)
	}
	return response, nil
}

// RolloutStatus implements pb.OperatorServer.
func (s *Server) RolloutStatus(m *pb.RolloutStatusRequest, stream grpc.ServerStreamingServer[pb.RolloutStatusResponse]) error {
	interval := defaultInterval
	if m.GetInterval() != nil {
		interval = min(max(m.GetInterval().AsDuration(), minInterval), maxInterval)
	}
	estimates := newEstimator()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		response := s.rollouts(m, estimates)
		if err := stream.Send(response); err != nil {
			return err
		}
		if m.GetUntilComplete() && response.GetComplete() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// rollouts returns the current state of the requested rollouts.
func (s *Server) rollouts(m *pb.RolloutStatusRequest, estimates *estimator) *pb.RolloutStatusResponse {
	now := s.cfg.Clock.Now()
	response := &pb.RolloutStatusResponse{Complete: true}
	desired := 0
	for _, r := range s.status.Rollouts() {
		if m.GetModel() != "" && m.GetModel() != r.Model || m.GetVersion() != "" && m.GetVersion() != r.Version {
			continue
		}
		message := &pb.Rollout{
			Model: r.Model, Version: r.Version, FailureDomain: string(r.Domain), Pool: r.Pool, Wanted: int32(r.DesiredInstances),
			OriginBytes: r.OriginBytes, PeerBytes: r.PeerBytes, TotalBytes: r.TotalBytes,
		}
		for phase := wire.PhaseIdle; phase <= wire.PhaseFailed; phase++ {
			if n := r.Phases[phase]; n > 0 {
				message.Phases = append(message.Phases, &pb.PhaseCount{Phase: phase.String(), Instances: int32(n)})
			}
		}
		if remaining, ok := estimates.remaining(r, now); ok {
			message.Remaining = durationpb.New(remaining)
		}
		response.Complete = response.Complete && r.Complete()
		desired += r.DesiredInstances
		response.Rollouts = append(response.Rollouts, message)
	}
	// An entry that knows no instances at all has not connected to its agents yet. A
	// single failure domain without instances does not prevent completion.
	if desired == 0 && !(len(response.Rollouts) == 0 && s.nothingPlaced(m)) {
		response.Complete = false
	}
	return response
}

// nothingPlaced reports whether an empty list of rollouts means that the configuration
// in force places no model. It does not if the request names a model or version: that
// one may be in a revision that is accepted but not yet in force on this entry.
func (s *Server) nothingPlaced(m *pb.RolloutStatusRequest) bool {
	view, _ := s.replica.InForce()
	return view != nil && m.GetModel() == "" && m.GetVersion() == ""
}
