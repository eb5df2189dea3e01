package operator

import (
	"context"
	"errors"
	"io"

	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// watchEntry passes the messages of one entry's stream to show. It reports whether the
// watch is finished; if not, it returns the error that ended the stream.
func (c *Client) watchEntry(ctx context.Context, index int, req *pb.RolloutStatusRequest, show func(*pb.RolloutStatusResponse) bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := pb.NewOperatorClient(c.conns[index]).RolloutStatus(ctx, req)
	if err != nil {
		return false, err
	}
	for {
		response, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		case !show(response):
			return true, nil
		}
	}
}
