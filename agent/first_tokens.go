package agent

import (
	"sync"
	"time"
)

const (
	// firstTokenWindow is the time over which times to first token are averaged.
	// It is longer than a step of the transfers' share, so that none is missed.
	firstTokenWindow = 2 * time.Second
	// maxFirstTokens bounds the times that are kept.
	maxFirstTokens = 256
)

// firstTokens measures the time from the start of requests on the engine to
// their first token. It is safe for concurrent use.
type firstTokens struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]time.Time
	recent  []firstToken
}

type firstToken struct{ at, started time.Time }

// start begins a request. The result is called at its first token, and with
// false when it ends without one; later calls do nothing.
func (f *firstTokens) start(now time.Time) (done func(now time.Time, token bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting == nil {
		f.waiting = make(map[uint64]time.Time)
	}
	f.next++
	id := f.next
	f.waiting[id] = now
	return func(at time.Time, token bool) { f.done(id, at, token) }
}

func (f *firstTokens) done(id uint64, now time.Time, token bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	started, ok := f.waiting[id]
	delete(f.waiting, id)
	if !ok || !token {
		return
	}
	f.recent = append(f.recent, firstToken{at: now, started: started})
	f.recent = f.recent[max(0, len(f.recent)-maxFirstTokens):]
}

// mean returns the mean time to first token of the window, or 0 without live
// requests. A request that has waited longer than the mean counts with its wait:
// on a link that is full no first token comes at all.
func (f *firstTokens) mean(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.recent) > 0 && now.Sub(f.recent[0].at) > firstTokenWindow {
		f.recent = f.recent[1:]
	}
	var sum time.Duration
	count := 0
	for _, t := range f.recent {
		sum += t.at.Sub(t.started)
		count++
	}
	mean := sum / time.Duration(max(count, 1))
	for _, started := range f.waiting {
		if wait := now.Sub(started); wait > mean {
			sum += wait
			count++
		}
	}
	return sum / time.Duration(max(count, 1))
}
