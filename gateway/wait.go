package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/placement"
)

const (
	// maxWaitDivisor limits the wait for a placement to a part of the time that the request
	// has left, so that a caller which is refused after it can still retry.
	maxWaitDivisor = 3
	// streamPatience is the time after which callers abandon a stream without a first event,
	// and streamReserve what is left of it for the way of the first event, besides the latency
	// target.
	streamPatience = 2 * time.Second
	streamReserve  = 200 * time.Millisecond
	// maxUnlimitedWait bounds the wait of requests without a time limit.
	maxUnlimitedWait = 2 * time.Second
	// waitingBytes is what a waiting request takes of the memory of bodies: a body that has
	// taken no room, the heads and the buffers of its connection, and its stack.
	waitingBytes = 48 << 10
)

// placeOrWait places the request. If it cannot be placed now but may wait, it waits. It
// returns neither an attempt nor a refusal if the context of the request has ended.
func (r *request) placeOrWait() (*attempt, *placement.Refusal) {
	a, refusal := r.place(r.ctx, r.gateway.now())
	if a != nil && r.table.Ranked(r.service) && !r.mayBeRunning() {
		r.gateway.waitLines.placed(r.lineKey(), r.rank())
	}
	if refusal == nil || !refusal.MayWait {
		return a, refusal
	}
	room, ok := r.gateway.requestBudget.TryAcquire(r.summary.Team, waitingBytes)
	if !ok {
		return nil, refusal
	}
	defer room.Release()
	longest := r.longestWait(r.gateway.now())
	w := r.gateway.waitLines.join(r.lineKey(), r.rank(), r.summary.Team, longest, refusal.Reason == placement.NoWeights)
	if w == nil {
		return nil, refusal
	}
	return r.wait(w, longest)
}

// wait waits until the request is placed, or until it may wait no longer. It ends the wait of w.
func (r *request) wait(w *waitingRequest, longest time.Duration) (*attempt, *placement.Refusal) {
	g := r.gateway
	r.waitingSince = g.now()
	r.waitEnds = r.waitingSince.Add(longest)
	placed := false
	defer func() {
		w.leave(placed)
		r.summary.Waited += g.now().Sub(r.waitingSince)
		r.waitingSince = time.Time{}
	}()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	for {
		last := false
		select {
		case <-w.turn:
		case <-timer.C:
			// The last try needs no turn. It returns the delay after which the caller may retry.
			last = true
		case <-r.ctx.Done():
			return nil, nil
		}
		if refusal := r.quarantineRefusal(); refusal != nil {
			return nil, refusal
		}
		a, refusal := r.place(r.ctx, g.now())
		switch {
		case refusal == nil:
			placed = true
			return a, nil
		case r.ctx.Err() != nil:
			return nil, nil
		case last || !refusal.MayWait:
			return nil, refusal
		}
		w.endTurn()
	}
}

// waitTimes returns how long the request has waited for its placement and how long it may
// still wait.
func (r *request) waitTimes(now time.Time) (waited, longest time.Duration) {
	waited = r.summary.Waited
	switch {
	case r.mayBeRunning():
		return waited, 0
	case !r.waitingSince.IsZero():
		// At least 1 ms, because zero means that the request has not waited.
		return waited + max(now.Sub(r.waitingSince), time.Millisecond), max(0, r.waitEnds.Sub(now))
	}
	longest = r.longestWait(now)
	if longest < minTurnDelay || !r.gateway.waitLines.accepts(r.lineKey(), r.rank(), longest, true) {
		return waited, 0
	}
	return waited, longest
}

// longestWait returns how long the request may wait for its placement from now on.
func (r *request) longestWait(now time.Time) time.Duration {
	longest := maxUnlimitedWait
	if !r.deadline.IsZero() {
		longest = r.remaining(now) / maxWaitDivisor
	}
	if r.isStreaming() {
		longest = min(longest, streamPatience-r.route.TargetLatency-streamReserve-now.Sub(r.arrived))
	}
	return max(0, longest)
}

// mayBeRunning reports whether a server may run the request already. It is then placed whatever
// the load.
func (r *request) mayBeRunning() bool { return r.stream.started || r.mayHaveRun || r.serverSilent }

func (r *request) lineKey() lineKey { return lineKey{r.service, r.weightsModel()} }
