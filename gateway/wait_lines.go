package gateway

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
)

const (
	// maxWaiting bounds the requests of an entry that wait for a placement. An entry that
	// refused 12 requests a second for 1.4 s had 17; the rest is for bursts.
	maxWaiting = 256
	// maxUnserved is how long requests of a line wait without any being placed until others no
	// longer join. Servers load weights in 1 to 2 s.
	maxUnserved = 2 * time.Second
	// maxLines bounds the lines that are kept while they are empty, for their rates.
	maxLines = 64
)

// waitLines holds the requests of an entry that wait for a placement, one line for each service
// and model. In each line one request at a time tries to be placed. It is safe for
// concurrent use.
type waitLines struct {
	now func() time.Time

	mu     sync.Mutex
	lines  map[lineKey]*waitLine
	length int
}

type lineKey struct{ service, model string }

// waitLine is the line of one service and model.
type waitLine struct {
	order admit.WaitLine
	// holder is the request that has its turn; nil if none has.
	holder *waitingRequest
	// timer gives the next turn; triedAt is when the last one was given.
	timer   *time.Timer
	triedAt time.Time
	// delay is the time until the next turn after one that fails.
	delay time.Duration
}

func newWaitLines(now func() time.Time) *waitLines {
	return &waitLines{now: now, lines: make(map[lineKey]*waitLine)}
}

// accepts reports whether a request of a rank may join a line: the line has room, and
// judging by the requests before it, it is placed within its longest wait. transient is set if
// servers are about to be available, so that the rate of past placements tells nothing.
func (l *waitLines) accepts(key lineKey, rank int, longest time.Duration, transient bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasRoom(key, rank, longest, transient)
}

// hasRoom implements accepts. The caller holds mu.
func (l *waitLines) hasRoom(key lineKey, rank int, longest time.Duration, transient bool) bool {
	if l.length >= maxWaiting {
		return false
	}
	line := l.lines[key]
	if line == nil || line.order.Len() == 0 {
		return true
	}
	now := l.now()
	return line.order.Unserved(rank, now) < maxUnserved && (transient || line.order.ExpectedWait(rank, now) <= longest)
}

// join adds a request to a line, or returns nil if accepts would return false. The caller must
// call leave.
func (l *waitLines) join(key lineKey, rank int, team string, longest time.Duration, transient bool) *waitingRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasRoom(key, rank, longest, transient) {
		return nil
	}
	line := l.lines[key]
	if line == nil {
		l.dropEmpty()
		line = &waitLine{}
		l.lines[key] = line
	}
	if line.order.Len() == 0 {
		line.delay = minTurnDelay
	}
	w := &waitingRequest{lines: l, line: line, turn: make(chan struct{}, 1)}
	w.waiter = line.order.Join(rank, team, w, l.now())
	l.length++
	if line.holder == nil && line.timer == nil {
		l.schedule(line, line.delay)
	}
	return w
}

// placed tells that a request of a rank was placed without having waited.
func (l *waitLines) placed(key lineKey, rank int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if line := l.lines[key]; line != nil {
		line.order.Placed(rank, l.now())
	}
}

// serverFreed tells that a request of a service has ended, so that a waiting one may have its
// place.
func (l *waitLines) serverFreed(key lineKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.lines[key]
	if line == nil || line.order.Len() == 0 || l.now().Sub(line.triedAt) < minTurnDelay {
		return
	}
	l.giveTurn(line)
}

// count returns the number of waiting requests.
func (l *waitLines) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.length
}

// schedule gives the next turn after a delay. The caller holds mu.
func (l *waitLines) schedule(line *waitLine, delay time.Duration) {
	line.stopTimer()
	if line.order.Len() == 0 {
		return
	}
	line.timer = time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.giveTurn(line)
	})
}

// giveTurn lets the first request of a line try to be placed, unless another one does. The
// caller holds mu.
func (l *waitLines) giveTurn(line *waitLine) {
	line.stopTimer()
	first := line.order.First()
	if line.holder != nil || first == nil {
		return
	}
	line.holder, line.triedAt = first.(*waitingRequest), l.now()
	line.holder.turn <- struct{}{}
}

func (line *waitLine) stopTimer() {
	if line.timer != nil {
		line.timer.Stop()
		line.timer = nil
	}
}

// dropEmpty drops empty lines if there are many. The caller holds mu.
func (l *waitLines) dropEmpty() {
	if len(l.lines) < maxLines {
		return
	}
	for key, line := range l.lines {
		if line.order.Len() == 0 {
			delete(l.lines, key)
		}
	}
}
