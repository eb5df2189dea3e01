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

// maxMessageBytes is the maximum size of a message. A configuration takes up to 3 MiB in
// its own encoding.
const maxMessageBytes = 16 << 20

// Client calls the operators' interface of entries. It is safe for concurrent use. Its
// methods return the errors of lib/config: *InvalidError, *RevisionConflictError,
// *UnknownOutcomeError, ErrOperationReused, ErrRevisionNotFound and
// ErrStoreUnavailable. The last one also means that no entry could be reached.
type Client struct {
	cfg   Config
	conns []*grpc.ClientConn
}

// New returns a Client. It returns an error if cfg is invalid. Connections are opened
// by the first call.
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
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)))
		if err != nil {
			_ = c.Close()
			return nil, merry.Prependf(err, "address %q", address)
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close closes all connections.
func (c *Client) Close() error {
	var errs []error
	for _, conn := range c.conns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

// NewOperationID returns a new operation id. Ids are ordered by time.
func NewOperationID() string { return uuid.Must(uuid.NewV7()).String() }

// Apply makes a configuration the next revision. If req.Operation is empty, a new id is
// used. If the reply of an entry is lost, the same call is made to the next entry. If no
// entry reports the outcome, the error is *config.UnknownOutcomeError.
func (c *Client) Apply(ctx context.Context, req config.Request) (config.Result, error) {
	c.setDefaults(&req)
	message := &pb.ApplyRequest{
		Config: convert.ConfigToMessage(req.Config), ExpectedRevision: req.Expected,
		Operation: req.Operation, DryRun: req.DryRun, Author: req.Author,
	}
	return c.write(ctx, req, func(ctx context.Context, entry pb.OperatorClient, opts ...grpc.CallOption) (*pb.ApplyResponse, error) {
		return entry.Apply(ctx, message, opts...)
	})
}

// Rollback makes the configuration of an earlier revision the next revision. It ignores
// req.Config. Otherwise it works like Apply.
func (c *Client) Rollback(ctx context.Context, to uint64, req config.Request) (config.Result, error) {
	c.setDefaults(&req)
	message := &pb.RollbackRequest{To: to, ExpectedRevision: req.Expected, Operation: req.Operation, DryRun: req.DryRun, Author: req.Author}
	return c.write(ctx, req, func(ctx context.Context, entry pb.OperatorClient, opts ...grpc.CallOption) (*pb.ApplyResponse, error) {
		return entry.Rollback(ctx, message, opts...)
	})
}

func (c *Client) setDefaults(req *config.Request) {
	if req.Operation == "" {
		req.Operation = NewOperationID()
	}
	if req.Author == "" {
		req.Author = c.cfg.Author
	}
}

// writeCall makes one attempt of a call that changes the configuration.
type writeCall func(context.Context, pb.OperatorClient, ...grpc.CallOption) (*pb.ApplyResponse, error)

func (c *Client) write(ctx context.Context, req config.Request, call writeCall) (config.Result, error) {
	sent := false
	response, err := tryEntries(ctx, c, func(ctx context.Context, entry pb.OperatorClient) (*pb.ApplyResponse, error) {
		var p peer.Peer
		response, err := call(ctx, entry, grpc.Peer(&p))
		// The address is set only if the call was assigned to a connection. Otherwise
		// nothing was sent.
		sent = sent || p.Addr != nil
		return response, err
	})
	if err != nil {
		if isRetryable(err) && sent && !req.DryRun {
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

// tryEntries calls the entries in order until one returns a definite result. It makes up
// to Rounds passes.
func tryEntries[T any](ctx context.Context, c *Client, call func(context.Context, pb.OperatorClient) (T, error)) (T, error) {
	var response T
	var err error
	for range c.cfg.Rounds {
		for _, conn := range c.conns {
			attemptCtx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
			response, err = call(attemptCtx, pb.NewOperatorClient(conn))
			cancel()
			if err == nil || !isRetryable(err) || ctx.Err() != nil {
				return response, err
			}
		}
	}
	return response, err
}

// isRetryable reports whether a call that failed with err may succeed, or return a
// definite error, at another attempt.
func isRetryable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Unknown, codes.DeadlineExceeded, codes.Canceled, codes.Internal, codes.ResourceExhausted:
		return true
	default:
		return false
	}
}
