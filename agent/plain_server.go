package agent

import (
	"context"
	"errors"

	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// plainServer runs requests on a plain service.
type plainServer struct {
	client  *engine.PlainClient
	reports loadReader
}

func newPlainServer(client *engine.PlainClient, cfg Config) *plainServer {
	return &plainServer{
		client:  client,
		reports: loadReader{clock: cfg.Clock, capacity: cfg.Capacity, read: client.Load},
	}
}

func (p *plainServer) Run(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
	response, err := p.client.Stream(ctx, engine.PlainRequest{
		ID:              start.Request,
		Service:         start.Service,
		IdempotencyKey:  start.IdempotencyKey,
		ContentType:     start.ContentType,
		RemainingMillis: start.RemainingMillis,
		Body:            start.Body,
	}, emit)
	if err != nil {
		return 0, "", markNotStarted(err)
	}
	return response.Status, response.ContentType, nil
}

// poll reads the load of the service periodically until ctx ends. For a service that
// reports no load, the configured capacity applies.
func (p *plainServer) poll(ctx context.Context) { p.reports.poll(ctx, nil) }

func (p *plainServer) load() wire.Load { return p.reports.load() }

// markNotStarted marks err with ErrNotStarted if it proves that the request did not
// run.
func markNotStarted(err error) error {
	if engine.NotStarted(err) {
		return errors.Join(gate.ErrNotStarted, err)
	}
	return err
}
