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

// Get returns a revision; 0 means the newest one. If inForce is true, it returns the
// configuration in force on the entry instead, which does not need the store.
func (c *Client) Get(ctx context.Context, number uint64, inForce bool) (config.View, error) {
	m, err := tryEntries(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.GetResponse, error) {
		return entry.Get(ctx, &pb.GetRequest{Revision: number, InForce: inForce})
	})
	if err != nil {
		return config.View{}, convert.ErrorFromStatus(err)
	}
	parsed, violations := convert.ConfigFromMessage(m.GetConfig())
	if len(violations) > 0 {
		return config.View{}, merry.Wrap(&config.InvalidError{Violations: violations})
	}
	return config.View{Config: parsed, Head: convert.HeadFromMessage(m.GetRevision()), Accepted: m.GetAccepted().AsTime()}, nil
}

// Diff returns the differences between two revisions. A from of 0 means an empty
// configuration, and a to of 0 the newest revision.
func (c *Client) Diff(ctx context.Context, from, to uint64) (*pb.DiffResponse, error) {
	m, err := tryEntries(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.DiffResponse, error) {
		return entry.Diff(ctx, &pb.DiffRequest{From: from, To: to})
	})
	return m, convert.ErrorFromStatus(err)
}

// History returns up to limit revisions before the given one, newest first. If before
// is 0, the list starts with the newest one.
func (c *Client) History(ctx context.Context, before uint64, limit int) (*pb.HistoryResponse, error) {
	m, err := tryEntries(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.HistoryResponse, error) {
		return entry.History(ctx, &pb.HistoryRequest{Before: before, Limit: int32(limit)})
	})
	return m, convert.ErrorFromStatus(err)
}

// OperationStatus returns the state of an operation. If settle is true, an operation
// that was not applied is abandoned, so that its state is final.
func (c *Client) OperationStatus(ctx context.Context, operation string, settle bool) (*pb.OperationStatusResponse, error) {
	m, err := tryEntries(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.OperationStatusResponse, error) {
		return entry.OperationStatus(ctx, &pb.OperationStatusRequest{Operation: operation, Settle: settle})
	})
	return m, convert.ErrorFromStatus(err)
}

// ConfigStatus returns the revisions in force in each failure domain.
func (c *Client) ConfigStatus(ctx context.Context) (*pb.ConfigStatusResponse, error) {
	m, err := tryEntries(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.ConfigStatusResponse, error) {
		return entry.ConfigStatus(ctx, &pb.ConfigStatusRequest{})
	})
	return m, convert.ErrorFromStatus(err)
}

// Instances returns the instances that are known to an entry. An empty domain or pool
// means all of them.
func (c *Client) Instances(ctx context.Context, domain, pool string) (*pb.InstancesResponse, error) {
	m, err := tryEntries(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.InstancesResponse, error) {
		return entry.Instances(ctx, &pb.InstancesRequest{FailureDomain: domain, Pool: pool})
	})
	return m, convert.ErrorFromStatus(err)
}

// WatchRollout calls show with the state of rollouts at each interval. It returns when
// show returns false, when ctx ends or, if untilComplete is true, when all desired
// instances are live. If the connection to an entry fails, it continues with the next
// one.
func (c *Client) WatchRollout(ctx context.Context, modelName, version string, interval time.Duration, untilComplete bool, show func(*pb.RolloutStatusResponse) bool) error {
	var err error
	for attempt := range c.cfg.Rounds * len(c.conns) {
		var done bool
		done, err = c.watchEntry(ctx, attempt%len(c.conns), &pb.RolloutStatusRequest{
			Model: modelName, Version: version, Interval: durationpb.New(interval), UntilComplete: untilComplete,
		}, show)
		if done || ctx.Err() != nil || !isRetryable(err) {
			break
		}
	}
	return convert.ErrorFromStatus(err)
}
