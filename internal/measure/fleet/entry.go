package fleet

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
)

const (
	// oneWayDelay is the network delay between entry and engine.
	oneWayDelay       = time.Millisecond
	entryTickInterval = 50 * time.Millisecond
)

// poolName is the pool of all modelled engines.
const poolName = "model"

// entry is a modelled entry with the real admit.Queue, admit.Limiter and
// route.Picker.
type entry struct {
	sim            *simulation
	queue          *admit.Queue
	picker         *route.Picker
	limiters       map[route.Key]*admit.Limiter
	engines        map[route.Key]*engine
	keys           []route.Key
	startEstimator admit.StartEstimator
	jobs           map[model.RequestID]*job
}

func newEntry(s *simulation, number int) *entry {
	seed := s.cfg.Seed*1000 + uint64(number)
	e := &entry{
		sim:      s,
		queue:    admit.New(admit.Config{}),
		picker:   route.New(route.Config{}, rand.New(rand.NewPCG(seed, seed))),
		limiters: make(map[route.Key]*admit.Limiter),
		engines:  make(map[route.Key]*engine),
		jobs:     make(map[model.RequestID]*job),
	}
	for i, eng := range s.engines {
		key := route.Key{Instance: model.InstanceID("runner-" + string(requestID(uint64(i)))), Generation: 1}
		e.keys = append(e.keys, key)
		e.engines[key] = eng
		e.limiters[key] = admit.NewLimiter(admit.LimiterConfig{})
		e.picker.Update(s.scheduler.now, route.Instance{ID: key.Instance, Generation: key.Generation, Pool: poolName})
	}
	return e
}

// start starts the entry's timer, the load reports and the cache events.
func (e *entry) start() {
	var tick func()
	tick = func() {
		e.dispatchQueued()
		e.sim.scheduler.after(entryTickInterval, tick)
	}
	tick()
	for i, key := range e.keys {
		// Spread the reports of the engines over the interval.
		offset := e.sim.cfg.Engine.ReportInterval * time.Duration(i) / time.Duration(len(e.keys))
		e.sim.scheduler.after(offset, func() { e.reportLoad(key) })
	}
	if !e.sim.cfg.NoAffinity {
		e.startCacheFeeds()
	}
}

// reportLoad samples an engine's load, delivers the sample after ReportDelay and
// schedules the next one.
func (e *entry) reportLoad(key route.Key) {
	cfg, eng := e.sim.cfg.Engine, e.engines[key]
	r := route.LoadReport{Running: len(eng.running), Queued: len(eng.waiting), Capacity: cfg.MaxBatch, Age: cfg.ReportDelay}
	e.sim.scheduler.after(cfg.ReportDelay, func() { e.picker.RecordLoad(e.sim.scheduler.now, key, r) })
	e.sim.scheduler.after(cfg.ReportInterval, func() { e.reportLoad(key) })
}

// arrive queues a request from the load balancer, or refuses it.
func (e *entry) arrive(j *job) {
	now := e.sim.scheduler.now
	r := admit.Request{
		ID: j.id, Tenant: j.tenant, Class: "interactive", Tokens: estimatedTokens,
		StartBy: e.startEstimator.StartBy(now, FirstTokenTarget),
	}
	if _, ok := e.queue.Enqueue(now, r); !ok {
		e.sim.recordRefusal(j)
		return
	}
	e.jobs[j.id] = j
	e.dispatchQueued()
}

// dispatchQueued refuses the queued requests that can no longer start in time
// and dispatches those that can run now.
func (e *entry) dispatchQueued() {
	now := e.sim.scheduler.now
	for _, refusal := range e.queue.Expire(now) {
		e.sim.recordRefusal(e.removeJob(refusal.Request.ID))
	}
	for {
		r, ok := e.queue.Next(now, e.place)
		if !ok {
			return
		}
		e.removeJob(r.ID)
	}
}

func (e *entry) removeJob(id model.RequestID) *job {
	j := e.jobs[id]
	delete(e.jobs, id)
	return j
}

// place picks an engine and sends the request to it. It is the callback of
// admit.Queue.Next.
func (e *entry) place(r admit.Request) admit.Placement {
	now, j := e.sim.scheduler.now, e.jobs[r.ID]
	request := route.Request{
		Pool: poolName, OfferedAt: r.OfferedAt,
		HasCapacity: func(k route.Key) bool { return e.limiters[k].CanAcquire() },
	}
	if !e.sim.cfg.NoAffinity {
		request.Prefix, request.AffinityBlocks = j.blocks[:sharedPrefixBlocks], sharedPrefixBlocks
	}
	choice, err := e.picker.Pick(now, &request)
	if err != nil {
		if refusal := new(route.Refusal); errors.As(err, &refusal) && refusal.Deferred {
			return admit.Deferred
		}
		return admit.Blocked
	}
	e.limiters[choice.Key].Acquire()
	e.picker.Started(now, choice.Key, request.Prefix)
	e.sim.scheduler.after(oneWayDelay, func() { e.send(choice.Key, j, now) })
	return admit.Placed
}

func (e *entry) send(key route.Key, j *job, dispatched time.Time) {
	limiter := e.limiters[key]
	q := &sequence{job: j}
	afterDelay := func(f func()) { e.sim.scheduler.after(oneWayDelay, f) }
	q.onFirstToken = func() {
		afterDelay(func() {
			now := e.sim.scheduler.now
			e.startEstimator.Observe(now.Sub(dispatched))
			limiter.ObserveFirstToken(now, now.Sub(dispatched))
		})
	}
	q.onProgress = func(tokens int, elapsed time.Duration) {
		afterDelay(func() { limiter.ObserveBetweenTokens(e.sim.scheduler.now, elapsed/time.Duration(tokens)) })
	}
	q.onDone = func() {
		afterDelay(func() {
			now := e.sim.scheduler.now
			limiter.Release()
			e.picker.Finished(now, key, route.ResultOK)
			e.queue.CorrectCharge(j.tenant, estimatedTokens, j.promptTokens+j.outputTokens)
			e.sim.recordResponse(j, q.firstTokenAt.Add(oneWayDelay), q.lastTokenAt.Add(oneWayDelay))
			e.dispatchQueued()
		})
	}
	e.engines[key].submit(q)
}
