package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// setClasses derives the ranks of requests from the priorities of the classes: the highest
// priority has rank 0, the next lower one rank 1.
func (a *admission) setClasses(classes []config.Class) {
	var priorities []int
	for _, c := range classes {
		priorities = append(priorities, c.Priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	ranks := make(map[int]int, len(priorities))
	for i, p := range priorities {
		ranks[p] = min(len(priorities)-1-i, admit.MaxRank)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ranks = ranks
}

// enqueue queues a request unless the gate of its pool or a limit of the queue refuses it. The
// gate leaves the fairness among tenants to the queue, which knows their shares. The caller
// must hold a.mu.
func (a *admission) enqueue(w *waiter, r admit.Request) (admit.Refusal, bool) {
	q, now := a.queue(w.pool), a.clock.Now()
	if !a.ranked(r) {
		return q.Enqueue(now, r)
	}
	wait := q.ExpectedWait(now, r.Tenant)
	v := a.gate(w.pool).Decide(now, admit.Offer{Rank: a.rank(r), Predicted: wait, Limit: r.StartBy.Sub(now), Remaining: w.deadline.Sub(now)})
	a.logOverload(w.pool, v.Overload)
	if v.Decision != admit.Admit {
		q.CountRefused(now, r)
		return admit.Refusal{Request: r, Reason: outcome.ReasonOverloaded, RetryAfter: v.RetryAfter}, false
	}
	refusal, ok := q.EnqueueExpecting(now, r, wait)
	if !ok {
		a.recordRefused(w.pool, r, now)
	}
	return refusal, ok
}

// recordRefused tells the gate that the queue has refused a request. The caller must hold a.mu.
func (a *admission) recordRefused(pool string, r admit.Request, now time.Time) {
	if a.ranked(r) {
		a.logOverload(pool, a.gate(pool).Refused(now, a.rank(r), ""))
	}
}

// ranked reports whether the gate decides on a request: requests without a limit for their
// start are not refused for the expected wait.
func (a *admission) ranked(r admit.Request) bool { return len(a.ranks) > 1 && !r.StartBy.IsZero() }

func (a *admission) rank(r admit.Request) int {
	if rank, ok := a.ranks[r.Priority]; ok {
		return rank
	}
	// The class was removed from the configuration while its request was on its way.
	return admit.MaxRank
}

func (a *admission) gate(pool string) *admit.Gate {
	g := a.gates[pool]
	if g == nil {
		g = admit.NewGate(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		a.gates[pool] = g
	}
	return g
}

func (a *admission) logOverload(pool string, o admit.Overload) {
	switch o.Change {
	case admit.OverloadBegan:
		a.log.Log(eventlog.QueueOverloaded, "pool", pool)
	case admit.OverloadEnded:
		a.log.Log(eventlog.QueueRelieved, "pool", pool, "lasted_ms", o.Duration.Milliseconds(), "not_admitted", o.NotAdmitted)
	}
}
