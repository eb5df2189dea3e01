package agent

import (
	"sync"
	"time"
)

const (
	// firstTokenWindow is the period over which times to first token are averaged. It
	// is longer than the interval at which the link share of transfers is adjusted, so
	// that every first token is counted.
	firstTokenWindow = 2 * time.Second
	// maxFirstTokens is the maximum number of recent first tokens that are kept.
	maxFirstTokens = 256
)

// firstTokens measures the time from the start of a request on the engine to its
// first token. It is safe for concurrent use.
type firstTokens struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]time.Time
	recent  []firstToken
}

type firstToken struct{ at, started time.Time }

// start records the start of a request. The caller calls done at the request's first
// token, or with token = false if the request ends without one. Further calls of done
// have no effect.
func (f *firstTokens) start(now time.Time) (done func(now time.Time, token bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting == nil {
		f.waiting = make(map[uint64]time.Time)
	}
	f.next++
	id := f.next
	f.waiting[id] = now
	return func(at time.Time, token bool) { f.finish(id, at, token) }
}

func (f *firstTokens) finish(id uint64, now time.Time, token bool) {
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

// mean returns the mean time to first token over the window, or 0 if there were no
// requests. Requests that have already waited longer than the mean are included with
// their wait so far: on a saturated link no first token arrives at all.
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
