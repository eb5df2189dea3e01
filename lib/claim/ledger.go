package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Writer applies one conditional write. It returns what
// backing.TableService.Commit returns. Batcher implements it.
type Writer interface {
	Write(ctx context.Context, w backing.Write) error
}

// Ledger claims, completes and releases keys.
type Ledger struct {
	config  Config
	table   backing.TableService
	writer  Writer
	pending *backlog
	// retention is in nanoseconds.
	retention atomic.Int64
}

// New returns a ledger over a table service. Writes go through writer; nil
// commits each on its own.
func New(config Config, table backing.TableService, writer Writer) *Ledger {
	config = config.applyDefaults()
	if writer == nil {
		writer = single{table}
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

// SetRetention sets the declared retention, which may change while the ledger is
// in use.
func (l *Ledger) SetRetention(d time.Duration) { l.retention.Store(int64(d)) }

func (l *Ledger) retained() time.Duration { return time.Duration(l.retention.Load()) }

// single commits each write in a transaction of its own.
type single struct{ table backing.TableService }

func (s single) Write(ctx context.Context, w backing.Write) error {
	return classify(s.table.Commit(ctx, backing.Transaction{Writes: []backing.Write{w}}))
}

// classify keeps the errors that say what happened and takes any other for a
// lost reply.
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

// Claim tries to become the one attempt that may run the request of a key. now
// is wall-clock time.
func (l *Ledger) Claim(ctx context.Context, now time.Time, key Key, in Intent) Decision {
	if l.pending.full() {
		// Without room to remember an unconfirmed claim none may be made.
		return l.answer(StatusNotRun)
	}
	t := claiming{ledger: l, now: now, key: key, in: in}
	for range l.config.MaxTries {
		if a, done := t.try(ctx); done {
			return a
		}
		l.config.Backoff(ctx)
		if ctx.Err() != nil {
			break
		}
	}
	return t.giveUp()
}

// Lookup returns what is stored under a key without claiming it: a result, a
// claim without a result, StatusNotRun when no claim stands, or StatusUnknown
// when the store does not answer.
func (l *Ledger) Lookup(ctx context.Context, now time.Time, key Key) Decision {
	row, err := l.table.Get(ctx, Table, key.row())
	if errors.Is(err, backing.ErrNotFound) {
		return l.answer(StatusNotRun)
	}
	if err != nil {
		return l.answer(StatusUnknown)
	}
	r, err := decodeRecord(row.Value)
	switch {
	case err != nil:
		return l.answer(StatusUnknown)
	case r.olderThan(now, l.retained()) || r.Phase == phaseReleased:
		return l.answer(StatusNotRun)
	case r.Phase == phaseCompleted:
		return Decision{Status: StatusEarlierResult, Result: r.Result}
	default:
		return l.answer(StatusNoResult)
	}
}

func writeOf(key Key, r record) (backing.Write, error) {
	value, err := r.encode()
	return backing.Write{Table: Table, Key: key.row(), Condition: backing.IfAbsent, Value: value}, err
}
