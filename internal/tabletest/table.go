// Package tabletest is an in-memory backing.TableService for tests, with the
// faults that the platform's one has: outages, replies lost before or after the
// write took effect, and writes that take effect late.
package tabletest

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Fault is what happens to one call.
type Fault uint8

const (
	// NoFault answers as the platform does on a good day.
	NoFault Fault = iota
	// Unavailable refuses a write as not applied and leaves a read unanswered.
	Unavailable
	// LostRequest loses a write before it takes effect.
	LostRequest
	// LostReply loses the reply of a write that took effect.
	LostReply
	// DelayedWrite loses the reply; the write takes effect at the next Land, if its
	// conditions hold then.
	DelayedWrite
)

// Table is the table service. It is safe for concurrent use.
type Table struct {
	// Fault, when set, says what happens to each call.
	Fault func(write bool) Fault

	mu      sync.Mutex
	rows    map[string]backing.Row
	version uint64
	late    []backing.Transaction
	commits int
}

// New returns an empty table service.
func New() *Table { return &Table{rows: make(map[string]backing.Row)} }

func id(table, key string) string { return table + "\x00" + key }

func (t *Table) fault(write bool) Fault {
	if t.Fault == nil {
		return NoFault
	}
	return t.Fault(write)
}

// Get returns a row.
func (t *Table) Get(_ context.Context, table, key string) (backing.Row, error) {
	if t.fault(false) != NoFault {
		return backing.Row{}, backing.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id(table, key)]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return row, nil
}

// Scan returns rows in key order.
func (t *Table) Scan(_ context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	if t.fault(false) != NoFault {
		return nil, backing.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []backing.Row
	for _, row := range t.rows {
		if row.Table == table && strings.HasPrefix(row.Key, prefix) && row.Key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Commit applies all writes or none.
func (t *Table) Commit(_ context.Context, tx backing.Transaction) error {
	f := t.fault(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	switch f {
	case Unavailable:
		return backing.ErrNotApplied
	case LostRequest:
		return backing.ErrUnknown
	case LostReply:
		_ = t.apply(tx)
		return backing.ErrUnknown
	case DelayedWrite:
		t.late = append(t.late, tx)
		return backing.ErrUnknown
	default:
		return t.apply(tx)
	}
}

// ApplyDelayed lets all late writes take effect.
func (t *Table) ApplyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.late {
		_ = t.apply(tx)
	}
	t.late = nil
}

// Commits returns the number of transactions so far, whatever their outcome.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Rows returns the number of rows.
func (t *Table) Rows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (t *Table) apply(tx backing.Transaction) error {
	for i, w := range tx.Writes {
		row, exists := t.rows[id(w.Table, w.Key)]
		if w.Condition == backing.IfAbsent && exists ||
			w.Condition == backing.IfVersion && (!exists || row.Version != w.Version) {
			return &backing.ConflictError{Index: i}
		}
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, id(w.Table, w.Key))
			continue
		}
		t.version++
		t.rows[id(w.Table, w.Key)] = backing.Row{Table: w.Table, Key: w.Key, Version: t.version, Value: w.Value}
	}
	return nil
}
