// Package tabletest provides an in-memory backing.TableService for tests. It injects
// the faults that the platform's table service can have: outages, requests and replies
// that are lost, and writes that take effect late.
package tabletest

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Fault is the fault injected into one call. A read with any fault fails with
// backing.ErrUnavailable.
type Fault uint8

const (
	// NoFault executes the call.
	NoFault Fault = iota
	// Unavailable fails a write with backing.ErrNotApplied.
	Unavailable
	// LostRequest fails a write with backing.ErrUnknown before it takes effect.
	LostRequest
	// LostReply fails a write with backing.ErrUnknown after it took effect.
	LostReply
	// DelayedWrite fails a write with backing.ErrUnknown; it takes effect at the next
	// ApplyDelayed, if its conditions hold then.
	DelayedWrite
)

// Table is an in-memory table service. It is safe for concurrent use once Fault is
// set.
type Table struct {
	// Fault, if set, returns the fault for each call.
	Fault func(write bool) Fault

	mu      sync.Mutex
	rows    map[string]backing.Row
	version uint64
	delayed []backing.Transaction
	commits int
}

// New returns an empty table service.
func New() *Table { return &Table{rows: make(map[string]backing.Row)} }

func rowID(table, key string) string { return table + "\x00" + key }

func (t *Table) faultFor(write bool) Fault {
	if t.Fault == nil {
		return NoFault
	}
	return t.Fault(write)
}

// Get implements backing.TableService.
func (t *Table) Get(_ context.Context, table, key string) (backing.Row, error) {
	if t.faultFor(false) != NoFault {
		return backing.Row{}, backing.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[rowID(table, key)]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return row, nil
}

// Scan implements backing.TableService.
func (t *Table) Scan(_ context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	if t.faultFor(false) != NoFault {
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

// Commit implements backing.TableService.
func (t *Table) Commit(_ context.Context, tx backing.Transaction) error {
	f := t.faultFor(true)
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
		t.delayed = append(t.delayed, tx)
		return backing.ErrUnknown
	default:
		return t.apply(tx)
	}
}

// ApplyDelayed applies the delayed transactions whose conditions hold, in the order of
// their commits.
func (t *Table) ApplyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.delayed {
		_ = t.apply(tx)
	}
	t.delayed = nil
}

// Commits returns the number of calls of Commit so far, including failed ones.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Rows returns the number of rows in all tables.
func (t *Table) Rows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (t *Table) apply(tx backing.Transaction) error {
	for i, w := range tx.Writes {
		row, exists := t.rows[rowID(w.Table, w.Key)]
		if w.Condition == backing.IfAbsent && exists ||
			w.Condition == backing.IfVersion && (!exists || row.Version != w.Version) {
			return &backing.ConflictError{Index: i}
		}
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, rowID(w.Table, w.Key))
			continue
		}
		t.version++
		t.rows[rowID(w.Table, w.Key)] = backing.Row{Table: w.Table, Key: w.Key, Version: t.version, Value: w.Value}
	}
	return nil
}
