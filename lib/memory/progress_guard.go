package memory

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// progressInterval is how often the progress of a receipt that has room is checked.
	progressInterval = time.Second
	// minProgress is the number of bytes that must arrive in it while others wait for room.
	minProgress = 64 << 10
	// maxSlowIntervals is the number of consecutive intervals without that progress after
	// which the receipt ends. One alone may be a pause of this process.
	maxSlowIntervals = 2
)

// ProgressGuard ends a receipt that has room and makes no progress, if others find none
// meanwhile.
type ProgressGuard struct {
	// received counts the bytes that have arrived.
	received atomic.Int64

	mu            sync.Mutex
	timer         *time.Timer
	stopped, slow bool
}

// GuardProgress starts a guard of a receipt that has room in the budget. It calls interrupt
// at most once, which must let the read fail that is in progress. Stop must be called after
// the last read.
func (b *Budget) GuardProgress(interrupt func()) *ProgressGuard {
	g := &ProgressGuard{}
	received, delayed, slowIntervals := int64(0), b.Delayed(), 0
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(progressInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.stopped {
			return
		}
		progress, waited := g.received.Load()-received, b.Delayed()-delayed
		received, delayed = received+progress, delayed+waited
		if waited > 0 && progress < minProgress {
			slowIntervals++
		} else {
			slowIntervals = 0
		}
		if slowIntervals == maxSlowIntervals {
			g.slow = true
			interrupt()
			return
		}
		g.timer.Reset(progressInterval)
	})
	return g
}

// Stop ends the guard and reports whether it has ended the receipt.
func (g *ProgressGuard) Stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
	return g.slow
}

// ReadFull reads until buf is full or source ends; it then returns the error of source. It
// tells the guard, which may be nil, what it has read.
func ReadFull(source io.Reader, buf []byte, guard *ProgressGuard) (n int, err error) {
	for n < len(buf) && err == nil {
		var more int
		more, err = source.Read(buf[n:])
		n += more
		if guard != nil {
			guard.received.Add(int64(more))
		}
	}
	return n, err
}
