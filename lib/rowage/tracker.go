// Package rowage bounds the age of rows that are read from a store. A bound that runs from
// the time at which a row was written must not be counted from the time at which this
// process reads the row: it may have been frozen, cut off or waiting for a lost answer in
// between.
package rowage

import (
	"errors"
	"time"

	"github.com/auburnbend/auburnbend/lib/pause"
	"github.com/auburnbend/auburnbend/lib/watch"
)

// minWait is how long a call must have been in progress for a change to have happened while
// it waited at the store. The answer to a shorter one may report a change from before it.
const minWait = 500 * time.Millisecond

// Tracker bounds the age of the rows of one table. It is used by one goroutine.
type Tracker struct {
	pauses *pause.Monitor
	// position is that of the newest answer, knownAt the earliest time at which it was
	// current, on the clock of pauses; zero before the first answer.
	position watch.Position
	knownAt  time.Time
	// failed is set if the last call has failed. disruptedAt is a time at which the store or
	// the path to it was disturbed later; zero if there is none.
	failed      bool
	disruptedAt time.Time
}

// NewTracker returns a Tracker for a table of which nothing has been read.
func NewTracker(pauses *pause.Monitor) *Tracker { return &Tracker{pauses: pauses} }

// Now returns the current time on the clock of WrittenAfter.
func (t *Tracker) Now() time.Time { return t.pauses.Now() }

// Arrival returns the earliest time at which data may have arrived that is read now.
func (t *Tracker) Arrival() time.Time { return t.pauses.Arrival() }

// KnownAt returns the earliest time at which the newest answer was current, or zero.
func (t *Tracker) KnownAt() time.Time { return t.knownAt }

// Read sets WrittenAfter of rows that the store has returned at once.
func (t *Tracker) Read(rows *watch.Rows, c *Call) { t.set(rows, t.unknownFrom(), c.began) }

// answeredError is implemented by errors of calls that the store has answered.
type answeredError interface{ StoreAnswered() bool }

// Failed records that a call has failed. Bounds start anew after a disturbance of the store
// or of a link, which the second of successive failures proves: the first one may be due to
// a connection that has gone silent, or to a pause of this process.
func (t *Tracker) Failed(c *Call, err error) {
	var answered answeredError
	if errors.As(err, &answered) && answered.StoreAnswered() {
		return
	}
	if t.failed && !t.knownAt.IsZero() && !t.pauses.Interrupted(c.began) {
		t.disruptedAt = c.began
	}
	t.failed = true
}

// unknownFrom returns the time since which nothing is known of the rows, less a time for
// which bounds stand still. It is zero before the first answer.
func (t *Tracker) unknownFrom() time.Time { return later(t.knownAt, t.disruptedAt) }

// Waited sets WrittenAfter of rows that the store has returned to a call that waits for
// the first change.
func (t *Tracker) Waited(rows *watch.Rows, c *Call) {
	writtenAfter := t.unknownFrom()
	if !writtenAfter.IsZero() && c.waited() {
		writtenAfter = later(writtenAfter, c.answeredAt())
	}
	t.set(rows, writtenAfter, c.answeredAt())
}

func (t *Tracker) set(rows *watch.Rows, writtenAfter, knownAt time.Time) {
	if rows.Position().Compare(t.position) < 0 {
		return
	}
	for i := range rows.Rows {
		if r := &rows.Rows[i]; t.isNew(rows, r) {
			r.WrittenAfter = writtenAfter
		}
	}
	t.answered(rows, knownAt)
}

// isNew reports whether a row may have been written after the newest answer. In a table that
// was restored its revision does not tell: it may stand for another transaction than before.
func (t *Tracker) isNew(rows *watch.Rows, r *watch.Row) bool {
	return rows.Era != t.position.Era || r.Revision > t.position.Revision
}

func (t *Tracker) answered(rows *watch.Rows, knownAt time.Time) {
	t.position, t.knownAt, t.failed = rows.Position(), later(t.knownAt, knownAt), false
}

// Relayed sets WrittenAfter of rows that another instance has returned to a call that waits
// for the first change, and of which it is set as far as that one knows it. If the call has
// not waited, earlier changes of these rows, of which that instance tells nothing, may have
// been missed. knownAt is the earliest time at which the rows were current there, or zero
// if that is unknown.
func (t *Tracker) Relayed(rows *watch.Rows, knownAt time.Time, c *Call) {
	if rows.Position().Compare(t.position) < 0 {
		return
	}
	for i := range rows.Rows {
		switch r := &rows.Rows[i]; {
		case !t.isNew(rows, r):
		case t.knownAt.IsZero() || !c.waited():
			r.WrittenAfter = t.unknownFrom()
		default:
			r.WrittenAfter = later(r.WrittenAfter, t.unknownFrom())
		}
	}
	t.answered(rows, knownAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
