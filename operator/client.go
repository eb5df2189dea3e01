package operator

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/schema/convert"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// maxMessage bounds an answer in bytes; a configuration has up to 3 MiB in its
// own encoding.
const maxMessage = 16 << 20

// Client calls entries. It is safe for concurrent use. Errors are those of
// lib/config: *InvalidError, *RevisionConflictError, *UnknownOutcomeError,
// ErrOperationReused, ErrRevisionNotFound and ErrStoreUnavailable, the last
// also when no entry could be reached.
type Client struct {
	cfg   Config
	conns []*grpc.ClientConn
}

// New returns a client that connects when it is first used.
func New(cfg Config) (*Client, error) {
	cfg.applyDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if cfg.TLS != nil {
		creds = credentials.NewTLS(cfg.TLS)
	}
	c := &Client{cfg: cfg}
	for _, address := range cfg.Addresses {
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(creds), grpc.WithDisableServiceConfig(),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)))
		if err != nil {
			_ = c.Close()
			return nil, merry.Prependf(err, "address %q", address)
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close ends all connections.
func (c *Client) Close() error {
	var errs []error
	for _, conn := range c.conns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

// NewOperationID returns a fresh operation id, ordered by time.
func NewOperationID() string { return uuid.Must(uuid.NewV7()).String() }

// Apply makes a configuration the next revision. An empty Operation is filled
// in. A lost reply is followed by the same call to the next entry; if no entry
// tells the outcome, the error is *config.UnknownOutcomeError.
func (c *Client) Apply(ctx context.Context, req config.Request) (config.Result, error) {
	c.fill(&req)
	message := &pb.ApplyRequest{
		Config: convert.ConfigToMessage(req.Config), ExpectedRevision: req.Expected,
		Operation: req.Operation, DryRun: req.DryRun, Author: req.Author,
	}
	return c.write(ctx, req, func(ctx context.Context, entry pb.OperatorClient, opts ...grpc.CallOption) (*pb.ApplyResponse, error) {
		return entry.Apply(ctx, message, opts...)
	})
}

// Rollback makes an earlier revision's configuration the next revision. Config
// of the request is ignored.
func (c *Client) Rollback(ctx context.Context, to uint64, req config.Request) (config.Result, error) {
	c.fill(&req)
	message := &pb.RollbackRequest{To: to, ExpectedRevision: req.Expected, Operation: req.Operation, DryRun: req.DryRun, Author: req.Author}
	return c.write(ctx, req, func(ctx context.Context, entry pb.OperatorClient, opts ...grpc.CallOption) (*pb.ApplyResponse, error) {
		return entry.Rollback(ctx, message, opts...)
	})
}

func (c *Client) fill(req *config.Request) {
	if req.Operation == "" {
		req.Operation = NewOperationID()
	}
	if req.Author == "" {
		req.Author = c.cfg.Author
	}
}

type writeCall func(context.Context, pb.OperatorClient, ...grpc.CallOption) (*pb.ApplyResponse, error)

func (c *Client) write(ctx context.Context, req config.Request, call writeCall) (config.Result, error) {
	sent := false
	response, err := each(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.ApplyResponse, error) {
		var at peer.Peer
		response, err := call(ctx, entry, grpc.Peer(&at))
		// An address is known only when a connection took the call; without one,
		// nothing was sent.
		sent = sent || at.Addr != nil
		return response, err
	})
	if err != nil {
		if isUndecided(err) && sent && !req.DryRun {
			err = &config.UnknownOutcomeError{Operation: req.Operation, Cause: err}
			return config.Result{}, merry.Wrap(err)
		}
		return config.Result{}, convert.ErrorFromStatus(err)
	}
	return config.Result{
		Head: convert.HeadFromMessage(response.GetRevision()), Differences: convert.DifferencesFromMessage(response.GetDifferences()),
		Unchanged: response.GetUnchanged(), Replayed: response.GetReplayed(),
	}, nil
}

// each tries the entries in order until one gives a definite answer.
func each[T any](ctx context.Context, c *Client, call func(context.Context, pb.OperatorClient) (T, error)) (T, error) {
	var answer T
	var err error
	for range c.cfg.Rounds {
		for _, conn := range c.conns {
			attempt, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
			answer, err = call(attempt, pb.NewOperatorClient(conn))
			cancel()
			if err == nil || !isUndecided(err) || ctx.Err() != nil {
				return answer, err
			}
		}
	}
	return answer, err
}

// isUndecided reports whether another attempt may find out more.
func isUndecided(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Unknown, codes.DeadlineExceeded, codes.Canceled, codes.Internal, codes.ResourceExhausted:
		return true
	default:
		return false
	}
}
