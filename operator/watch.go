package operator

import (
	"context"
	"errors"
	"io"

	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// watch follows one entry's stream. It reports whether the caller has what it
// wanted.
func (c *Client) watch(ctx context.Context, index int, req *pb.RolloutStatusRequest, show func(*pb.RolloutStatusResponse) bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := pb.NewOperatorClient(c.conns[index]).RolloutStatus(ctx, req)
	if err != nil {
		return false, err
	}
	for {
		answer, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		case !show(answer):
			return true, nil
		}
	}
}
