package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// cancelTimeout bounds the order to end a stream.
	cancelTimeout = 2 * time.Second
	// streamContentType is that of an engine's answer.
	streamContentType = "text/plain; charset=utf-8"
)

// engineServer runs requests on a model engine.
type engineServer struct {
	client  *engine.Client
	cfg     Config
	roles   *roles
	first   *firstTokens
	reports loadReader
	crashed func(incarnation uint64)

	mu          sync.Mutex
	incarnation uint64
}

func newEngineServer(client *engine.Client, a *Agent) *engineServer {
	return &engineServer{
		client:  client,
		cfg:     a.cfg,
		roles:   &a.roles,
		first:   &a.firstTokens,
		reports: loadReader{clock: a.cfg.Clock, capacity: a.cfg.Capacity, read: client.Load},
		crashed: a.crashed,
	}
}

func (e *engineServer) Run(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
	if role := e.roles.current(); role != model.RoleMixed {
		return 0, "", errors.Join(gate.ErrNotStarted, merry.Errorf("engine has the role %s", role))
	}
	first := e.first.start(e.cfg.Clock.Now())
	defer func() { first(e.cfg.Clock.Now(), false) }()
	send := emit
	emit = func(data []byte) error {
		first(e.cfg.Clock.Now(), true)
		return send(data)
	}
	stream, err := e.client.Generate(ctx, engine.Request{
		ID:              start.Request,
		Stream:          string(start.Attempt),
		Weights:         start.Weights,
		Priority:        start.Priority,
		Prefix:          engine.HashPrefix(start.Body),
		RemainingMillis: start.RemainingMillis,
		Body:            start.Body,
	})
	if err != nil {
		return 0, "", e.failure(ctx, err)
	}
	defer stream.Close()
	if err := e.copyStream(ctx, stream, emit); err != nil {
		e.cancel(string(start.Attempt))
		return 0, "", e.failure(ctx, err)
	}
	return http.StatusOK, streamContentType, nil
}

// copyStream passes an answer on. A connection that broke inside an answer is
// resumed once at the same offset.
func (e *engineServer) copyStream(ctx context.Context, stream *engine.Stream, emit func([]byte) error) error {
	resumed := false
	for {
		frame, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && !resumed && ctx.Err() == nil:
			resumed = true
			if again := e.client.Resume(ctx, stream); again != nil {
				return err
			}
			continue
		case err != nil:
			return err
		}
		if err := emit(frame.Data); err != nil {
			return err
		}
	}
}

// cancel ends the engine's work on a stream that nobody reads any more.
func (e *engineServer) cancel(stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = e.client.Cancel(ctx, stream)
}

// failure says what an error proves. After an error that does not prove that
// the request did not run, the engine's state tells whether it crashed.
func (e *engineServer) failure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if engine.NotStarted(err) {
		return errors.Join(gate.ErrNotStarted, err)
	}
	if e.checkCrash(ctx) {
		return errors.Join(gate.ErrBackendCrashed, err)
	}
	return err
}

// checkCrash reports whether the engine died since its state was last read.
func (e *engineServer) checkCrash(ctx context.Context) bool {
	state, err := e.client.State(ctx)
	e.mu.Lock()
	before := e.incarnation
	if err == nil {
		e.incarnation = state.Incarnation
	}
	e.mu.Unlock()
	died := err != nil || before != 0 && state.Incarnation != before
	if died && before != 0 {
		e.crashed(before)
	}
	return died
}

// observe reads the engine's state and load until ctx ends.
func (e *engineServer) observe(ctx context.Context) { e.reports.observe(ctx, e.checkRestart) }

// checkRestart notices a restart that no request ran into. An engine that does
// not answer is left to the requests: it may only be slow.
func (e *engineServer) checkRestart(ctx context.Context) {
	state, err := e.client.State(ctx)
	if err != nil {
		return
	}
	e.mu.Lock()
	before := e.incarnation
	e.incarnation = state.Incarnation
	e.mu.Unlock()
	e.roles.observe(state.Role)
	if before != 0 && before != state.Incarnation {
		e.crashed(before)
	}
}

func (e *engineServer) load() wire.Load { return e.reports.load() }
