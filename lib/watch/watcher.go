// Package watch follows one table of a store: a full read first, changes
// afterwards, and another full read whenever the history is lost. It never
// passes on a state that is older than one that it has passed on before.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Watcher follows one table. Run belongs to one goroutine.
type Watcher struct {
	config  Config
	source  Source
	handler Handler

	// revision is the newest one that the handler has seen; negative before the
	// first read.
	revision int64
	// synced tells that Changes may continue at revision.
	synced bool
	// lost tells that the last call failed.
	lost    bool
	backoff time.Duration
}

// New returns a Follower.
func New(config Config, source Source, handler Handler) *Watcher {
	return &Watcher{config: config.applyDefaults(), source: source, handler: handler, revision: -1}
}

// Run follows the table until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if pause := f.step(ctx); pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// step makes one call and returns the pause before the next one.
func (f *Watcher) step(ctx context.Context) time.Duration {
	rows, err := f.call(ctx)
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrHistoryLost):
		f.synced = false
		return f.pause()
	case err != nil:
		if !f.lost {
			f.lost = true
			f.handler.Lost(err)
		}
		return f.pause()
	case rows.Revision < f.revision:
		// A read that lags behind what is known already must not undo it.
		return f.pause()
	}
	f.deliver(rows)
	return 0
}

func (f *Watcher) call(ctx context.Context) (Rows, error) {
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+ResponseTimeout+transferLimit)
	defer cancel()
	if f.synced {
		return f.source.Changes(ctx, f.revision, wait)
	}
	return f.source.Snapshot(ctx)
}

// wait is how long the next call waits for a change. After a failure it asks
// for an answer at once: a call that waits cannot be told from one that is lost,
// and would delay what was missed.
func (f *Watcher) wait() time.Duration {
	if !f.synced || f.lost {
		return 0
	}
	return f.config.LongPollTimeout - rand.N(f.config.LongPollTimeout/3+1)
}

func (f *Watcher) deliver(rows Rows) {
	recovered := f.lost || rows.AfterOutage
	f.lost = false
	f.backoff = 0
	f.revision = rows.Revision
	if !f.synced {
		f.synced = true
		f.handler.Replace(rows, recovered)
		return
	}
	if len(rows.Rows) > 0 || recovered {
		f.handler.Apply(rows, recovered)
	}
}

// pause doubles the backoff and spreads it over half of its length.
func (f *Watcher) pause() time.Duration {
	f.backoff = min(max(2*f.backoff, f.config.MinBackoff), f.config.MaxBackoff)
	return f.backoff/2 + rand.N(f.backoff/2)
}
