package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// pollInterval is the interval at which a backend server's state and load report are
// read.
const pollInterval = 500 * time.Millisecond

// loadReader reads the load reports of a model engine or plain service. It is safe
// for concurrent use.
type loadReader struct {
	clock clock.Clock
	// capacity is the configured capacity, used if the server reports none.
	capacity int
	read     func(context.Context) (engine.LoadReport, error)

	mu         sync.Mutex
	report     engine.LoadReport
	receivedAt time.Time // zero if there is no report
}

// poll reads the load report periodically until ctx ends. It calls beforeRead, if not
// nil, before each read.
func (l *loadReader) poll(ctx context.Context, beforeRead func(context.Context)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if beforeRead != nil {
			beforeRead(ctx)
		}
		l.readOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readOnce reads the load report. It keeps the previous report if the server does not
// respond, and drops it if the server no longer reports its load.
func (l *loadReader) readOnce(ctx context.Context) {
	report, err := l.read(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.report, l.receivedAt = report, l.clock.Now()
	case errors.Is(err, engine.ErrNoLoadReport):
		l.report, l.receivedAt = engine.LoadReport{}, time.Time{}
	}
}

// load returns the last report with its current age.
func (l *loadReader) load() wire.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := l.report.Age()
	if !l.receivedAt.IsZero() {
		age += l.clock.Now().Sub(l.receivedAt)
	}
	capacity := l.report.Capacity
	if capacity == 0 {
		capacity = l.capacity
	}
	return wire.Load{
		Running:          l.report.Running,
		Queued:           l.report.Queued,
		Capacity:         capacity,
		FirstTokenMillis: int(l.report.FirstTokenMillis),
		AgeMillis:        int(age.Milliseconds()),
	}
}
