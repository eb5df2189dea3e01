// Package watch follows one table of a store. It reads the whole table first,
// then its changes, and the whole table again whenever the history is lost or too
// much of it was missed. It never delivers a state older than one that it has already
// delivered. The state of a restored store is a newer one, whatever its revision.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Watcher follows one table. Run must be called by one goroutine only.
type Watcher struct {
	config  Config
	source  Source
	handler Handler

	// position is the newest one delivered to the handler; its revision is negative before
	// the first read.
	position Position
	// newest is the newest one answered: position, or one of a later era while its table has
	// not been delivered.
	newest Position
	// synced is set if the next call may read the changes since position.
	synced bool
	// settling is set after a restore until the table has been read after settledAt.
	settling  bool
	settledAt time.Time
	// stale is set if the last answer was older than newest.
	stale bool
	// failing is set if the last call failed.
	failing bool
	// answeredAt is when the last call that succeeded ended.
	answeredAt time.Time
	backoff    time.Duration
	// replay counts what was read in vain, if MaxReplay is set.
	replay replay
}

// New returns a Watcher.
func New(config Config, source Source, handler Handler) *Watcher {
	return &Watcher{config: config.applyDefaults(), source: source, handler: handler, position: Position{Revision: -1}, newest: Position{Revision: -1}}
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if delay := w.step(ctx); delay > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		}
	}
}

// step makes one call and returns the delay before the next one.
func (w *Watcher) step(ctx context.Context) time.Duration {
	rows, err := w.read(ctx)
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrHistoryLost):
		w.synced = false
		return w.nextBackoff()
	case err != nil:
		if !w.failing {
			w.failing = true
			w.handler.Lost(err)
		}
		return w.nextBackoff()
	case rows.Position().Compare(w.newest) < 0:
		// A read from a lagging store must not undo what has been delivered, nor deliver a
		// history that the store is known to have lost.
		if !w.stale {
			w.stale = true
			call(w.config.OnStale, w.newest, rows.Position())
		}
		return w.nextBackoff()
	case w.synced && rows.Era != w.position.Era:
		w.synced, w.newest = false, rows.Position()
		return 0
	}
	w.stale = false
	w.deliver(rows)
	return 0
}

func (w *Watcher) read(ctx context.Context) (Rows, error) {
	if w.missedTooMuch() || w.settling && w.settlingTime() <= 0 {
		w.synced = false
	}
	wait := w.longPollTimeout()
	ctx, cancel := context.WithTimeout(ctx, wait+ResponseTimeout+transferTimeout)
	defer cancel()
	if w.synced {
		return w.source.Changes(ctx, w.position, wait)
	}
	return w.source.Snapshot(ctx)
}

// missedTooMuch reports whether the store has not answered for so long that the table must
// be read in full.
func (w *Watcher) missedTooMuch() bool {
	return w.failing && w.config.MaxReplay > 0 && w.config.Clock.Now().Sub(w.answeredAt) > w.config.MaxReplay
}

// longPollTimeout returns how long the next call waits for a change. After a
// failure it is zero: a waiting call can't be told from a lost one, and would
// delay the changes that were missed.
func (w *Watcher) longPollTimeout() time.Duration {
	if !w.synced || w.failing {
		return 0
	}
	wait := w.config.LongPollTimeout - rand.N(w.config.LongPollTimeout/3+1)
	if w.settling {
		wait = min(wait, w.settlingTime())
	}
	return wait
}

// settlingTime returns how long rows that a restored store has lost may still be written
// again.
func (w *Watcher) settlingTime() time.Duration { return w.settledAt.Sub(w.config.Clock.Now()) }

// noteRestore marks the rows of a full read if the store was restored a short time ago. It
// reports whether these are the first ones since then.
func (w *Watcher) noteRestore(rows *Rows) (first bool) {
	if w.position.Revision >= 0 && rows.Era > w.position.Era {
		first, w.settling, w.settledAt = true, true, w.config.Clock.Now().Add(w.config.RestoreSettle)
		call(w.config.OnRestored, w.position, rows.Position())
	}
	w.settling = w.settling && w.settlingTime() > 0
	rows.Restored = first || w.settling
	return first
}

func call(f func(delivered, answered Position), delivered, answered Position) {
	if f != nil {
		f(delivered, answered)
	}
}

func (w *Watcher) deliver(rows Rows) {
	recovered := w.failing || rows.AfterOutage
	if !w.synced {
		recovered = w.noteRestore(&rows) || recovered
	}
	w.failing = false
	w.answeredAt = w.config.Clock.Now()
	w.backoff = 0
	w.position, w.newest = rows.Position(), rows.Position()
	if !w.synced {
		w.synced = true
		w.replay = replay{}
		w.handler.Replace(rows, recovered)
		return
	}
	if w.config.MaxReplay > 0 {
		if w.replay.add(rows) {
			w.synced = false
		}
		rows = rows.newest()
	}
	if recovered {
		// First those that do not count as rows of the outage.
		var unexpired Rows
		if unexpired, rows = rows.splitUnexpired(); len(unexpired.Rows) > 0 {
			w.handler.Apply(unexpired, false)
		}
	}
	if len(rows.Rows) > 0 || recovered {
		w.handler.Apply(rows, recovered)
	}
}

// nextBackoff doubles the backoff and returns a random delay between half of it
// and all of it.
func (w *Watcher) nextBackoff() time.Duration {
	w.backoff = min(max(2*w.backoff, w.config.MinBackoff), w.config.MaxBackoff)
	return w.backoff/2 + rand.N(w.backoff/2)
}
