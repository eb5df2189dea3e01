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

// observeInterval is the time between two reads of a backend server's state
// and load report.
const observeInterval = 500 * time.Millisecond

// loadReader reads the load reports of an engine or plain service. It is safe
// for concurrent use.
type loadReader struct {
	clock clock.Clock
	// capacity is the configured capacity, for servers that report none.
	capacity int
	read     func(context.Context) (engine.LoadReport, error)

	mu         sync.Mutex
	report     engine.LoadReport
	reportedAt time.Time
}

// observe reads until ctx ends. Before each read it calls before, if set.
func (l *loadReader) observe(ctx context.Context, before func(context.Context)) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		if before != nil {
			before(ctx)
		}
		l.readOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readOnce keeps the last report when the server does not answer, and drops it
// when the server reports no load any more.
func (l *loadReader) readOnce(ctx context.Context) {
	report, err := l.read(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.report, l.reportedAt = report, l.clock.Now()
	case errors.Is(err, engine.ErrNoLoadReport):
		l.report, l.reportedAt = engine.LoadReport{}, time.Time{}
	}
}

// load returns the last report, with the age that it has now.
func (l *loadReader) load() wire.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := l.report.Age()
	if !l.reportedAt.IsZero() {
		age += l.clock.Now().Sub(l.reportedAt)
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
