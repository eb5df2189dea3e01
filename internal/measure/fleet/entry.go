package fleet

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
)

// Network delays between entry and engine and the timer of an entry.
const (
	oneWayDelay       = time.Millisecond
	entryTickInterval = 50 * time.Millisecond
)

// poolName is the only pool of the model.
const poolName = "model"

// entry runs the real Queue, Limiter and Picker.
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
		e.picker.Update(s.clock.now, route.Instance{ID: key.Instance, Generation: key.Generation, Pool: poolName})
	}
	return e
}

// start begins the timers of the entry and of the reports to it.
func (e *entry) start() {
	var tick func()
	tick = func() {
		e.dispatchQueued()
		e.sim.clock.after(entryTickInterval, tick)
	}
	tick()
	for i, key := range e.keys {
		// Engines report at different times.
		offset := e.sim.cfg.Engine.ReportInterval * time.Duration(i) / time.Duration(len(e.keys))
		e.sim.clock.after(offset, func() { e.reportLoad(key) })
	}
	if !e.sim.cfg.NoAffinity {
		e.startCacheFeeds()
	}
}

// reportLoad samples an engine's load and delivers it late.
func (e *entry) reportLoad(key route.Key) {
	cfg, eng := e.sim.cfg.Engine, e.engines[key]
	r := route.LoadReport{Running: len(eng.running), Queued: len(eng.waiting), Capacity: cfg.MaxBatch, Age: cfg.ReportDelay}
	e.sim.clock.after(cfg.ReportDelay, func() { e.picker.RecordLoad(e.sim.clock.now, key, r) })
	e.sim.clock.after(cfg.ReportInterval, func() { e.reportLoad(key) })
}

// arrive takes a request from the balancer.
func (e *entry) arrive(j *job) {
	now := e.sim.clock.now
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

// dispatchQueued starts what can start now and answers what is too late.
func (e *entry) dispatchQueued() {
	now := e.sim.clock.now
	for _, shed := range e.queue.Expire(now) {
		e.sim.recordRefusal(e.removeJob(shed.Request.ID))
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

// place picks an engine and sends the request to it.
func (e *entry) place(r admit.Request) admit.Placement {
	now, j := e.sim.clock.now, e.jobs[r.ID]
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
	e.sim.clock.after(oneWayDelay, func() { e.send(choice.Key, j, now) })
	return admit.Placed
}

func (e *entry) send(key route.Key, j *job, dispatched time.Time) {
	limiter := e.limiters[key]
	q := &sequence{job: j}
	later := func(f func()) { e.sim.clock.after(oneWayDelay, f) }
	q.onFirstToken = func() {
		later(func() {
			now := e.sim.clock.now
			e.startEstimator.Observe(now.Sub(dispatched))
			limiter.ObserveFirstToken(now, now.Sub(dispatched))
		})
	}
	q.onProgress = func(tokens int, took time.Duration) {
		later(func() { limiter.ObserveBetweenTokens(e.sim.clock.now, took/time.Duration(tokens)) })
	}
	q.onDone = func() {
		later(func() {
			now := e.sim.clock.now
			limiter.Release()
			e.picker.Finished(now, key, route.ResultOK)
			e.queue.CorrectCharge(j.tenant, estimatedTokens, j.promptTokens+j.outputTokens)
			e.sim.recordResponse(j, q.firstTokenAt.Add(oneWayDelay), q.lastTokenAt.Add(oneWayDelay))
			e.dispatchQueued()
		})
	}
	e.engines[key].submit(q)
}
