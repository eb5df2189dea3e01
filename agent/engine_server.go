package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// cancelTimeout bounds the call that cancels a stream.
	cancelTimeout = 2 * time.Second
	// streamContentType is the content type of an engine's responses.
	streamContentType = "text/plain; charset=utf-8"
)

// engineServer runs requests on a model engine.
type engineServer struct {
	client      *engine.Client
	cfg         Config
	roles       *roles
	firstTokens *firstTokens
	reports     loadReader
	onCrash     func(incarnation uint64)
	// live returns the record of the weights that are served.
	live func() *backend.LoadRecord

	mu          sync.Mutex
	incarnation uint64
}

func newEngineServer(client *engine.Client, a *Agent) *engineServer {
	return &engineServer{
		client:      client,
		cfg:         a.cfg,
		roles:       &a.roles,
		firstTokens: &a.firstTokens,
		reports:     loadReader{clock: a.cfg.Clock, capacity: a.cfg.Capacity, read: client.Load},
		onCrash:     a.handleCrash,
		live:        a.live.Load,
	}
}

func (e *engineServer) Run(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
	if role := e.roles.current(); role != model.RoleMixed {
		return 0, "", errors.Join(gate.ErrNotStarted, merry.Errorf("engine role is %s, want mixed", role))
	}
	served := e.live()
	finish := e.firstTokens.start(e.cfg.Clock.Now())
	defer func() { finish(e.cfg.Clock.Now(), false) }()
	send := emit
	emit = func(data []byte) error {
		finish(e.cfg.Clock.Now(), true)
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
		return 0, "", e.classifyError(ctx, err)
	}
	defer stream.Close()
	if err := e.copyStream(ctx, stream, emit); err != nil {
		e.cancel(string(start.Attempt))
		return 0, "", e.classifyError(ctx, err)
	}
	if err := e.checkWeightsKept(ctx, served); err != nil {
		return 0, "", e.classifyError(ctx, err)
	}
	return http.StatusOK, streamContentType, nil
}

// checkWeightsKept checks at the end of a response that the engine is still in the state
// in which its weights were confirmed. An engine that ignores fencing numbers may have
// run a load in the meantime that ended before the periodic read of its state.
func (e *engineServer) checkWeightsKept(ctx context.Context, served *backend.LoadRecord) error {
	if e.cfg.Backend.Guard.EnforcesFencing {
		return nil
	}
	state, err := e.client.State(ctx)
	if err != nil {
		return merry.Wrap(gate.ErrWeightsChanged, merry.WithCause(err))
	}
	if served == nil || state.Busy || state.Incarnation != served.Incarnation || state.Accepted != served.Accepted || state.Weights != served.Weights {
		return merry.Wrap(gate.ErrWeightsChanged)
	}
	return nil
}

// copyStream passes the frames of a response to emit. If the connection breaks during
// the response, copyStream resumes the stream once at the same offset.
func (e *engineServer) copyStream(ctx context.Context, stream *engine.Stream, emit func([]byte) error) error {
	resumed := false
	for {
		frame, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && !resumed && ctx.Err() == nil:
			resumed = true
			if resumeErr := e.client.Resume(ctx, stream); resumeErr != nil {
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

// cancel tells the engine to stop working on a stream that is no longer read.
func (e *engineServer) cancel(stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = e.client.Cancel(ctx, stream)
}

// classifyError marks err with ErrNotStarted if it proves that the request did not
// run. Otherwise it reads the engine's state and marks err with ErrBackendCrashed if
// the engine crashed.
func (e *engineServer) classifyError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if engine.NotStarted(err) {
		return errors.Join(gate.ErrNotStarted, err)
	}
	if e.detectCrash(ctx) {
		return errors.Join(gate.ErrBackendCrashed, err)
	}
	return err
}

// detectCrash reports whether the engine is down or has restarted since its state was
// last read. An engine that does not respond in time may only be busy.
func (e *engineServer) detectCrash(ctx context.Context) bool {
	state, err := e.client.State(ctx)
	e.mu.Lock()
	previous := e.incarnation
	if err == nil {
		e.incarnation = state.Incarnation
	}
	e.mu.Unlock()
	crashed := err != nil && !engine.TimedOut(err) || err == nil && previous != 0 && state.Incarnation != previous
	if crashed && previous != 0 {
		e.onCrash(previous)
	}
	return crashed
}

// poll reads the engine's state and load periodically until ctx ends.
func (e *engineServer) poll(ctx context.Context) { e.reports.poll(ctx, e.detectRestart) }

// detectRestart detects a restart that affected no request. It ignores an engine that
// does not respond, which may only be slow; if it is down, requests will detect that.
func (e *engineServer) detectRestart(ctx context.Context) {
	state, err := e.client.State(ctx)
	if err != nil {
		return
	}
	e.mu.Lock()
	previous := e.incarnation
	e.incarnation = state.Incarnation
	e.mu.Unlock()
	e.roles.setReported(state.Role)
	if previous != 0 && previous != state.Incarnation {
		e.onCrash(previous)
	}
}

func (e *engineServer) load() wire.Load { return e.reports.load() }
