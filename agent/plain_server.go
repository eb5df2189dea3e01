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
	answer, err := p.client.Call(ctx, engine.PlainRequest{
		ID:              start.Request,
		Service:         start.Service,
		IdempotencyKey:  start.IdempotencyKey,
		ContentType:     start.ContentType,
		RemainingMillis: start.RemainingMillis,
		Body:            start.Body,
	})
	if err != nil {
		return 0, "", backendError(err)
	}
	if len(answer.Body) > 0 {
		if err := emit(answer.Body); err != nil {
			return 0, "", err
		}
	}
	return answer.Status, answer.ContentType, nil
}

// observe reads the load of the service until ctx ends. A service that reports
// none keeps the configured capacity.
func (p *plainServer) observe(ctx context.Context) { p.reports.observe(ctx, nil) }

func (p *plainServer) load() wire.Load { return p.reports.load() }

// backendError marks errors that prove that nothing ran.
func backendError(err error) error {
	if engine.NotStarted(err) {
		return errors.Join(gate.ErrNotStarted, err)
	}
	return err
}
