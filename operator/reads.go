package operator

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/schema/convert"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// Get returns a revision; 0 asks for the newest. With inForce, the entry
// answers from its own replica without the store.
func (c *Client) Get(ctx context.Context, number uint64, inForce bool) (config.View, error) {
	m, err := each(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.GetResponse, error) {
		return entry.Get(ctx, &pb.GetRequest{Revision: number, InForce: inForce})
	})
	if err != nil {
		return config.View{}, convert.ErrorFromStatus(err)
	}
	parsed, faults := convert.ConfigFromMessage(m.GetConfig())
	if len(faults) > 0 {
		return config.View{}, merry.Wrap(&config.InvalidError{Violations: faults})
	}
	return config.View{Config: parsed, Head: convert.HeadFromMessage(m.GetRevision()), Accepted: m.GetAccepted().AsTime()}, nil
}

// Diff returns what changes between two revisions.
func (c *Client) Diff(ctx context.Context, from, to uint64) (*pb.DiffResponse, error) {
	m, err := each(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.DiffResponse, error) {
		return entry.Diff(ctx, &pb.DiffRequest{From: from, To: to})
	})
	return m, convert.ErrorFromStatus(err)
}

// History returns up to limit revisions before a number, newest first.
func (c *Client) History(ctx context.Context, before uint64, limit int) (*pb.HistoryResponse, error) {
	m, err := each(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.HistoryResponse, error) {
		return entry.History(ctx, &pb.HistoryRequest{Before: before, Limit: int32(limit)})
	})
	return m, convert.ErrorFromStatus(err)
}

// OperationStatus returns what became of an operation id. With settle the
// answer is final.
func (c *Client) OperationStatus(ctx context.Context, operation string, settle bool) (*pb.OperationStatusResponse, error) {
	m, err := each(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.OperationStatusResponse, error) {
		return entry.OperationStatus(ctx, &pb.OperationStatusRequest{Operation: operation, Settle: settle})
	})
	return m, convert.ErrorFromStatus(err)
}

// ConfigStatus returns the revision in force per failure domain.
func (c *Client) ConfigStatus(ctx context.Context) (*pb.ConfigStatusResponse, error) {
	m, err := each(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.ConfigStatusResponse, error) {
		return entry.ConfigStatus(ctx, &pb.ConfigStatusRequest{})
	})
	return m, convert.ErrorFromStatus(err)
}

// Instances returns the instances that an entry knows; empty filters mean all.
func (c *Client) Instances(ctx context.Context, domain, pool string) (*pb.InstancesResponse, error) {
	m, err := each(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.InstancesResponse, error) {
		return entry.Instances(ctx, &pb.InstancesRequest{FailureDomain: domain, Pool: pool})
	})
	return m, convert.ErrorFromStatus(err)
}

// WatchRollout asks RolloutStatus and hands each answer to show, until it returns
// false, ctx ends or, with untilComplete, every wanted instance is live. It goes
// on with the next entry when one leaves.
func (c *Client) WatchRollout(ctx context.Context, modelName, version string, interval time.Duration, untilComplete bool, show func(*pb.RolloutStatusResponse) bool) error {
	var err error
	for attempt := range c.cfg.Rounds * len(c.conns) {
		var ended bool
		ended, err = c.watch(ctx, attempt%len(c.conns), &pb.RolloutStatusRequest{
			Model: modelName, Version: version, Interval: durationpb.New(interval), UntilComplete: untilComplete,
		}, show)
		if ended || ctx.Err() != nil || !isUndecided(err) {
			break
		}
	}
	return convert.ErrorFromStatus(err)
}
