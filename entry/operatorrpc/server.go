package operatorrpc

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/schema/convert"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// Server implements the operators' gRPC service. It is safe for concurrent use.
type Server struct {
	pb.UnimplementedOperatorServer
	cfg     Config
	store   ConfigStore
	replica ConfigReplica
	status  FleetStatus
}

// New returns a Server for the given store, replica and view of the fleet.
func New(cfg Config, store ConfigStore, replica ConfigReplica, status FleetStatus) *Server {
	cfg.applyDefaults()
	return &Server{cfg: cfg, store: store, replica: replica, status: status}
}

// Register registers the service with a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) { pb.RegisterOperatorServer(r, s) }

// Apply implements pb.OperatorServer.
func (s *Server) Apply(ctx context.Context, m *pb.ApplyRequest) (*pb.ApplyResponse, error) {
	c, violations := convert.ConfigFromMessage(m.GetConfig())
	if len(violations) > 0 {
		return nil, convert.ErrorToStatus(&config.InvalidError{Violations: violations})
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	result, err := s.store.Apply(ctx, config.Request{
		Config: c, Expected: m.GetExpectedRevision(), Operation: m.GetOperation(),
		Author: author(ctx, m.GetAuthor()), DryRun: m.GetDryRun(),
	})
	return s.writeResponse(ctx, result, err, m.GetOperation())
}

// Rollback implements pb.OperatorServer.
func (s *Server) Rollback(ctx context.Context, m *pb.RollbackRequest) (*pb.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	result, err := s.store.Rollback(ctx, m.GetTo(), config.Request{
		Expected: m.GetExpectedRevision(), Operation: m.GetOperation(),
		Author: author(ctx, m.GetAuthor()), DryRun: m.GetDryRun(),
	})
	return s.writeResponse(ctx, result, err, m.GetOperation())
}

// writeResponse logs the result of a call that changes the configuration, applies an
// accepted revision on this entry and returns the response or the gRPC error.
func (s *Server) writeResponse(ctx context.Context, result config.Result, err error, operation string) (*pb.ApplyResponse, error) {
	var conflict *config.RevisionConflictError
	var unknown *config.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		s.cfg.Log.Log(eventlog.ConfigConflict, "operation", operation, "expected", conflict.Expected, "current", conflict.Current.Number)
	case errors.As(err, &unknown):
		s.cfg.Log.Log(eventlog.StoreUnavailable, "operation", operation, "cause", unknown.Cause)
	case err == nil && len(result.EncodedRevision) > 0:
		s.cfg.Log.Log(eventlog.ConfigAccepted, "operation", operation, "revision", result.Head.Number)
		s.replica.ApplyAccepted(result.EncodedRevision)
		s.prune(ctx, result.Head.Number)
	}
	if err != nil {
		return nil, convert.ErrorToStatus(err)
	}
	return &pb.ApplyResponse{
		Revision: convert.HeadToMessage(result.Head), Differences: convert.DifferencesToMessage(result.Differences),
		Unchanged: result.Unchanged, Replayed: result.Replayed,
	}, nil
}

// prune removes old operation ids from the store once every RevisionsPerSnapshot
// revisions. The entry that served the change does this, so that no leader is
// needed. If it fails, the next run removes them.
func (s *Server) prune(ctx context.Context, number uint64) {
	if number%config.RevisionsPerSnapshot == 0 {
		_, _ = s.store.Prune(ctx)
	}
}

// Get implements pb.OperatorServer.
func (s *Server) Get(ctx context.Context, m *pb.GetRequest) (*pb.GetResponse, error) {
	view, err := s.view(ctx, m)
	if err != nil {
		return nil, err
	}
	return &pb.GetResponse{
		Revision: convert.HeadToMessage(view.Head), Accepted: timestamppb.New(view.Accepted), Config: convert.ConfigToMessage(view.Config),
	}, nil
}

func (s *Server) view(ctx context.Context, m *pb.GetRequest) (config.View, error) {
	if m.GetInForce() {
		view, _ := s.replica.InForce()
		if view == nil {
			return config.View{}, status.Error(codes.Unavailable, "no configuration is in force on this entry yet")
		}
		return *view, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	view, err := s.store.Get(ctx, m.GetRevision())
	return view, convert.ErrorToStatus(err)
}

// Diff implements pb.OperatorServer.
func (s *Server) Diff(ctx context.Context, m *pb.DiffRequest) (*pb.DiffResponse, error) {
	from := config.View{Config: &config.Config{}}
	var err error
	if m.GetFrom() > 0 {
		if from, err = s.view(ctx, &pb.GetRequest{Revision: m.GetFrom()}); err != nil {
			return nil, err
		}
	}
	to, err := s.view(ctx, &pb.GetRequest{Revision: m.GetTo()})
	if err != nil {
		return nil, err
	}
	return &pb.DiffResponse{
		From: convert.HeadToMessage(from.Head), To: convert.HeadToMessage(to.Head),
		Differences: convert.DifferencesToMessage(config.Diff(from.Config, to.Config)),
	}, nil
}

// History implements pb.OperatorServer.
func (s *Server) History(ctx context.Context, m *pb.HistoryRequest) (*pb.HistoryResponse, error) {
	limit := int(m.GetLimit())
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	entries, err := s.store.History(ctx, m.GetBefore(), limit)
	if err != nil {
		return nil, convert.ErrorToStatus(err)
	}
	response := &pb.HistoryResponse{}
	for _, e := range entries {
		response.Entries = append(response.Entries, &pb.HistoryEntry{
			Revision: convert.HeadToMessage(e.Head), Author: e.Change.Author, Operation: e.Change.Operation,
			Accepted: timestamppb.New(e.Change.Time()), Objects: e.Change.Delta.ChangedObjects(),
		})
	}
	return response, nil
}

// OperationStatus implements pb.OperatorServer.
func (s *Server) OperationStatus(ctx context.Context, m *pb.OperationStatusRequest) (*pb.OperationStatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	op, err := s.store.Operation(ctx, m.GetOperation(), m.GetSettle())
	if err != nil {
		return nil, convert.ErrorToStatus(err)
	}
	response := &pb.OperationStatusResponse{State: pb.OperationState_OPERATION_STATE_NOT_FOUND}
	switch op.State {
	case config.OperationApplied:
		response.State = pb.OperationState_OPERATION_STATE_APPLIED
		response.Revision = convert.HeadToMessage(op.Head)
		response.Time = timestamppb.New(op.Time)
	case config.OperationAbandoned:
		response.State = pb.OperationState_OPERATION_STATE_ABANDONED
		response.Time = timestamppb.New(op.Time)
	}
	return response, nil
}

// author returns the name in the client's certificate, or the declared name if the
// connection has none.
func author(ctx context.Context, declared string) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return declared
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return declared
	}
	certificate := info.State.PeerCertificates[0]
	if len(certificate.DNSNames) > 0 {
		return certificate.DNSNames[0]
	}
	return certificate.Subject.CommonName
}
