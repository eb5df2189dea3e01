package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Writer applies one conditional write and returns the same errors as
// backing.TableService.Commit. Batcher implements it.
type Writer interface {
	Write(ctx context.Context, w backing.Write) error
}

// Ledger claims, completes and releases keys. It is safe for concurrent use.
type Ledger struct {
	config  Config
	table   backing.TableService
	writer  Writer
	pending *backlog
	// retention is in nanoseconds.
	retention atomic.Int64
}

// New returns a Ledger that stores its rows in table. Writes go through writer;
// if it is nil, each write is committed in its own transaction.
func New(config Config, table backing.TableService, writer Writer) *Ledger {
	config = config.applyDefaults()
	if writer == nil {
		writer = directWriter{table}
	}
	l := &Ledger{
		config:  config,
		table:   table,
		writer:  writer,
		pending: newBacklog(config.MaxPending, config.MaxPendingBytes),
	}
	l.SetRetention(config.Retention)
	return l
}

// MaxResultBytes returns the maximum size of a body that is stored.
func (l *Ledger) MaxResultBytes() int { return l.config.MaxResultBytes }

// SetRetention sets the time for which keys are kept. It may be called while
// the ledger is in use.
func (l *Ledger) SetRetention(d time.Duration) { l.retention.Store(int64(d)) }

func (l *Ledger) currentRetention() time.Duration { return time.Duration(l.retention.Load()) }

// directWriter commits each write in its own transaction.
type directWriter struct{ table backing.TableService }

func (d directWriter) Write(ctx context.Context, w backing.Write) error {
	return classify(d.table.Commit(ctx, backing.Transaction{Writes: []backing.Write{w}}))
}

// classify returns conflicts and errors with a known result unchanged and marks
// any other error as backing.ErrUnknown, because the reply may have been lost.
func classify(err error) error {
	var conflict *backing.ConflictError
	if err == nil || errors.As(err, &conflict) || errors.Is(err, backing.ErrNotApplied) {
		return err
	}
	if errors.Is(err, backing.ErrUnknown) {
		return err
	}
	return errors.Join(backing.ErrUnknown, err)
}

func isConflict(err error) bool {
	var conflict *backing.ConflictError
	return errors.As(err, &conflict)
}

// Claim tries to acquire key for the attempt in intent, which alone may then
// run the request. now is wall-clock time.
func (l *Ledger) Claim(ctx context.Context, now time.Time, key Key, intent Intent) Decision {
	if l.pending.nearlyFull() {
		// An unconfirmed claim could not be recorded, so no claim may be made.
		return l.decision(StatusNotRun)
	}
	o := claimOperation{ledger: l, now: now, key: key, intent: intent}
	for range l.config.MaxTries {
		if d, done := o.try(ctx); done {
			return d
		}
		l.config.Backoff(ctx)
		if ctx.Err() != nil {
			break
		}
	}
	return o.unresolved()
}

// Lookup returns the state of key without claiming it: a result, a claim
// without a result, StatusNotRun if there is no claim, or StatusUnknown if the
// store does not respond. now is wall-clock time.
func (l *Ledger) Lookup(ctx context.Context, now time.Time, key Key) Decision {
	row, err := l.table.Get(ctx, Table, key.rowKey())
	if errors.Is(err, backing.ErrNotFound) {
		return l.decision(StatusNotRun)
	}
	if err != nil {
		return l.decision(StatusUnknown)
	}
	r, err := decodeRecord(row.Value)
	switch {
	case err != nil:
		return l.decision(StatusUnknown)
	case r.olderThan(now, l.currentRetention()) || r.Phase == phaseReleased:
		return l.decision(StatusNotRun)
	case r.Phase == phaseCompleted:
		return Decision{Status: StatusEarlierResult, Result: r.Result}
	default:
		return l.decision(StatusNoResult)
	}
}

func newWrite(key Key, r record) (backing.Write, error) {
	value, err := r.encode()
	return backing.Write{Table: Table, Key: key.rowKey(), Condition: backing.IfAbsent, Value: value}, err
}
