package gateway

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/lib/placement"
)

// standby asks other servers for a response while the server of an attempt is silent. The
// silent server keeps the request until another one has begun to respond: it may be sound
// and go on, and there may be no other one that can take the request over.
//
// While a standby runs, the request belongs to it, and the goroutine that created it only
// reads from the silent server. settle gives the request back. A server that a standby asks
// may be silent as well, and then has a standby of its own: the first one may fail, so that
// it is the only one that has the request.
type standby struct {
	request *request
	current *attempt
	timer   *time.Timer

	state  atomic.Int32
	ctx    context.Context
	cancel context.CancelFunc
	// currentFailed is closed when the attempt has failed, so that an unsuccessful try is
	// not followed by another one.
	currentFailed chan struct{}
	// done is closed when the standby has ended. winner is then set if another server has
	// begun to respond.
	done   chan struct{}
	winner *attempt
	// wasSilent is the value of request.serverSilent before the standby began.
	wasSilent bool
	// panicked is the value of a panic, which settle raises again where the HTTP library
	// recovers it.
	panicked any
}

// standbyRetryDelay is the time between two unsuccessful tries of a standby.
const standbyRetryDelay = 200 * time.Millisecond

// States of a standby.
const (
	standbyWaiting int32 = iota
	// standbyWon means that another server has begun to respond.
	standbyWon
	// standbySettled means that the attempt has responded or failed first.
	standbySettled
)

// newStandby creates the standby of an attempt, which starts after delay and ends with ctx.
// It returns nil if delay is zero; the methods of a nil standby do nothing.
func (r *request) newStandby(ctx context.Context, current *attempt, delay time.Duration) *standby {
	if delay <= 0 {
		return nil
	}
	s := &standby{request: r, current: current, currentFailed: make(chan struct{}), done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.timer = time.AfterFunc(delay, s.run)
	return s
}

// run tries other servers until one begins to respond or the standby is settled.
func (s *standby) run() {
	defer func() {
		s.panicked = recover()
		close(s.done)
	}()
	r := s.request
	s.wasSilent, r.serverSilent = r.serverSilent, true
	r.recordInterrupted(s.ctx, s.current.lease, os.ErrDeadlineExceeded)
	for s.ctx.Err() == nil {
		if a := s.try(); a != nil {
			if s.state.CompareAndSwap(standbyWaiting, standbyWon) {
				a.cancel = s.cancel
				s.winner = a
				s.current.conn.Cancel()
				return
			}
			s.discard(a)
			return
		}
		select {
		case <-s.ctx.Done():
		case <-s.currentFailed:
			return
		case <-time.After(standbyRetryDelay):
		}
	}
}

// discard ends an attempt that has begun to respond too late.
func (s *standby) discard(a *attempt) {
	r := s.request
	r.mayHaveRun = true
	a.room.Release()
	r.endAttempt(a, placement.Cancelled)
}

// try asks one other server, and returns the attempt if that has begun to respond.
func (s *standby) try() *attempt {
	r := s.request
	silent := attemptResult{sent: true, mayHaveRun: true, reason: "server is silent"}
	if !r.isRetryAllowed(silent) || !r.hasRetry() {
		return nil
	}
	a, refusal := r.place(s.ctx, r.gateway.now())
	if refusal != nil {
		return nil
	}
	if !r.chargeRetry() {
		r.endAttempt(a, placement.Cancelled)
		return nil
	}
	r.logRetry(s.current, silent)
	failure := r.open(s.ctx, a)
	if failure == nil {
		return a
	}
	r.mayHaveRun = r.mayHaveRun || failure.successor != nil
	r.unusedRetry = r.unusedRetry || !failure.sent
	r.endAttempt(a, failure.result)
	return failure.successor
}

// halt stops the delay. It returns false if the standby has started; it must then be
// settled.
func (s *standby) halt() bool { return s == nil || s.timer.Stop() }

// resume begins the delay anew after halt.
func (s *standby) resume(delay time.Duration) { s.timer.Reset(delay) }

// release frees a standby that is halted.
func (s *standby) release() {
	if s != nil {
		s.cancel()
	}
}

// settle ends the standby once the server of the attempt has responded, or has failed with
// err. It returns the attempt that has won, or nil if the attempt goes on or has failed. A
// try that is under way when the attempt fails may still succeed, and settle waits for it.
// The failed server loses the request before that wait: its weights may expire meanwhile,
// and it must not begin the request then.
func (s *standby) settle(err error) *attempt {
	if s == nil {
		return nil
	}
	if s.timer.Stop() {
		s.cancel()
		return nil
	}
	if err != nil {
		s.current.conn.Cancel()
	} else if s.state.CompareAndSwap(standbyWaiting, standbySettled) {
		s.cancel()
	}
	close(s.currentFailed)
	<-s.done
	if s.panicked != nil {
		panic(s.panicked)
	}
	s.request.serverSilent = s.wasSilent
	if s.winner == nil {
		s.cancel()
		s.request.describe(s.current)
	}
	return s.winner
}
