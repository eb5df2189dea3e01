package convert

import (
	"errors"
	"strings"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"

	"github.com/auburnbend/auburnbend/lib/config"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// ErrorToStatus converts an error of lib/config to a gRPC status error. Unknown errors
// get the code Internal.
func ErrorToStatus(err error) error {
	var invalid *config.InvalidError
	var conflict *config.RevisionConflictError
	var unknown *config.UnknownOutcomeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		detail := &pb.Invalid{}
		for _, f := range invalid.Violations {
			detail.Faults = append(detail.Faults, &pb.Fault{Path: f.Path, Value: f.Value, Allowed: f.Allowed})
		}
		return withDetail(codes.InvalidArgument, invalid.Error(), detail)
	case errors.As(err, &conflict):
		return withDetail(codes.FailedPrecondition, conflict.Error(), &pb.Conflict{
			Expected: conflict.Expected, Current: HeadToMessage(conflict.Current),
			Author: conflict.Author, Operation: conflict.Operation,
			Differences: DifferencesToMessage(conflict.Differences),
		})
	case errors.As(err, &unknown):
		return withDetail(codes.Unknown, unknown.Error(), &pb.UnknownOutcome{Operation: unknown.Operation})
	case errors.Is(err, config.ErrOperationReused):
		return status.Error(codes.AlreadyExists, err.Error())
	case errors.Is(err, config.ErrRevisionNotFound):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, config.ErrStoreUnavailable):
		return status.Error(codes.Unavailable, err.Error())
	default:
		return status.Error(codes.Internal, err.Error())
	}
}

// ErrorFromStatus converts a gRPC status error back to an error of lib/config. It
// returns errors without a counterpart unchanged.
func ErrorFromStatus(err error) error {
	s, ok := status.FromError(err)
	if err == nil || !ok {
		return err
	}
	for _, detail := range s.Details() {
		switch d := detail.(type) {
		case *pb.Invalid:
			invalid := &config.InvalidError{}
			for _, f := range d.GetFaults() {
				invalid.Violations = append(invalid.Violations, config.Violation{Path: f.GetPath(), Value: f.GetValue(), Allowed: f.GetAllowed()})
			}
			return merry.Wrap(invalid)
		case *pb.Conflict:
			return merry.Wrap(&config.RevisionConflictError{
				Expected: d.GetExpected(), Current: HeadFromMessage(d.GetCurrent()), Author: d.GetAuthor(),
				Operation: d.GetOperation(), Differences: DifferencesFromMessage(d.GetDifferences()),
			})
		case *pb.UnknownOutcome:
			return merry.Wrap(&config.UnknownOutcomeError{Operation: d.GetOperation(), Cause: err})
		}
	}
	switch s.Code() {
	case codes.AlreadyExists:
		return merry.Wrap(config.ErrOperationReused, merry.AppendMessage(s.Message()))
	case codes.NotFound:
		return merry.Wrap(config.ErrRevisionNotFound, merry.AppendMessage(s.Message()))
	case codes.Unavailable:
		if strings.HasPrefix(s.Message(), config.ErrStoreUnavailable.Error()) {
			return merry.Wrap(config.ErrStoreUnavailable, merry.WithMessage(s.Message()))
		}
		// The connection to the entry failed, which says nothing about the store.
		return merry.Wrap(config.ErrStoreUnavailable, merry.WithMessagef("entry unavailable: %s", s.Message()))
	default:
		return err
	}
}

func withDetail(code codes.Code, message string, detail protoadapt.MessageV1) error {
	s, err := status.New(code, message).WithDetails(detail)
	if err != nil {
		return status.Error(code, message)
	}
	return s.Err()
}
