// Package memory bounds the bytes that a process holds for others, such as the bodies of
// requests and of responses.
package memory

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// ErrExhausted means that there was no room within the time allowed.
var ErrExhausted = errors.New("memory for the data of others is used up")

// Budget bounds the bytes that are held for all holders together, and those of each single
// holder, for example of a team or of a backend server. It is safe for concurrent use.
type Budget struct {
	limit, holderLimit int64

	mu       sync.Mutex
	held     int64
	byHolder map[string]int64
	// waiting are the calls of Acquire that do not fit, in order of arrival.
	waiting          []*waiter
	delayed, refused int64
}

// NewBudget returns a Budget of limit bytes, of which one holder may have holderLimit. The
// rest is left so that other holders find room.
func NewBudget(limit, holderLimit int64) *Budget {
	return &Budget{limit: limit, holderLimit: holderLimit, byHolder: make(map[string]int64)}
}

// Acquire reserves bytes for a holder. It waits for room until ctx ends and then returns an
// error that wraps ErrExhausted and the cause. Of the calls that wait, the one whose holder
// has least goes first. A reservation that exceeds a limit by itself is granted when nothing
// else is held.
func (b *Budget) Acquire(ctx context.Context, holder string, bytes int64) (*Reservation, error) {
	b.mu.Lock()
	if b.fits(holder, bytes) {
		defer b.mu.Unlock()
		return b.reserve(holder, bytes), nil
	}
	w := &waiter{holder: holder, bytes: bytes, granted: make(chan *Reservation, 1)}
	b.waiting = append(b.waiting, w)
	b.delayed++
	b.mu.Unlock()
	select {
	case r := <-w.granted:
		return r, nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case r := <-w.granted:
		return r, nil
	default:
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	b.refused++
	return nil, errors.Join(ErrExhausted, context.Cause(ctx))
}

// TryAcquire reserves bytes for a holder if there is room now.
func (b *Budget) TryAcquire(holder string, bytes int64) (*Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(holder, bytes) {
		b.delayed++
		b.refused++
		return nil, false
	}
	return b.reserve(holder, bytes), true
}

// Held returns the bytes that are reserved.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Delayed returns the number of calls that have found no room at first.
func (b *Budget) Delayed() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delayed
}

// Refused returns the number of calls that have found no room.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

func (b *Budget) fits(holder string, bytes int64) bool {
	return b.held == 0 || b.held+bytes <= b.limit && b.byHolder[holder]+bytes <= b.holderLimit
}

func (b *Budget) reserve(holder string, bytes int64) *Reservation {
	b.add(holder, bytes)
	return &Reservation{budget: b, holder: holder, bytes: bytes}
}

func (b *Budget) add(holder string, bytes int64) {
	b.held += bytes
	if b.byHolder[holder] += bytes; b.byHolder[holder] == 0 {
		delete(b.byHolder, holder)
	}
}

// free returns bytes of a holder and grants them to calls that wait.
func (b *Budget) free(holder string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(holder, -bytes)
	for {
		next := -1
		for i, w := range b.waiting {
			if b.fits(w.holder, w.bytes) && (next < 0 || b.byHolder[w.holder] < b.byHolder[b.waiting[next].holder]) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		w := b.waiting[next]
		b.waiting = slices.Delete(b.waiting, next, next+1)
		w.granted <- b.reserve(w.holder, w.bytes)
	}
}
