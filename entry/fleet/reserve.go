package fleet

import (
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/poison"
	"github.com/auburnbend/auburnbend/lib/route"
)

// maxPlacementTries is the maximum number of instances that Reserve tries for a suspect
// with each of the weights that may serve it.
const maxPlacementTries = 8

var (
	// ErrQuarantined means that the request is quarantined because it crashed
	// several backend servers.
	ErrQuarantined = merry.New("request is quarantined")
	// ErrShouldWait means that an instance is free but the request should wait for
	// a better one.
	ErrShouldWait = merry.New("request waits for a better instance")
	// ErrNoInstance means that no instance can accept the request at the moment.
	ErrNoInstance = merry.New("no instance can accept the request")
)

// Requirements describes the instance that a request needs.
type Requirements struct {
	Pool string
	// Weights are the weights that may serve the request, in order of preference.
	// For plain services the only element is the zero value.
	Weights     []model.Weights
	Fingerprint model.Fingerprint
	// Prefix is the hash of the beginning of the prompt. Zero disables cache
	// affinity.
	Prefix engine.PrefixHash
	// Avoid lists the instances of earlier attempts, which are not chosen again.
	Avoid []model.InstanceID
	// OfferedAt is when the first placement of the request was attempted.
	OfferedAt time.Time
}

// Slot is a reservation of an instance for one request. Finish releases it.
type Slot struct {
	Key     route.Key
	Link    *link.Link
	Weights model.Weights
	// Suspect is true if the request was in flight when a backend server crashed.
	Suspect     bool
	fingerprint model.Fingerprint
	sample      *paceSample
}

// Reserve picks an instance and reserves a slot on it. It returns ErrQuarantined,
// ErrShouldWait or ErrNoInstance if that is not possible.
func (f *Fleet) Reserve(need *Requirements) (*Slot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	if f.monitor.Quarantined(now, need.Fingerprint) {
		return nil, merry.Wrap(ErrQuarantined)
	}
	refusal := merry.Wrap(ErrNoInstance)
	for _, weights := range need.Weights {
		slot, err := f.reserveWithWeights(now, need, weights)
		switch {
		case err == nil:
			return slot, nil
		case errors.Is(err, ErrQuarantined):
			return nil, err
		case errors.Is(err, ErrShouldWait):
			refusal = err
		}
	}
	return nil, refusal
}

// reserveWithWeights is Reserve for one of the weights that may serve the request.
// The caller must hold f.mu.
func (f *Fleet) reserveWithWeights(now time.Time, need *Requirements, weights model.Weights) (*Slot, error) {
	// Instances that run another suspect are avoided in this call only.
	avoid := slices.Clone(need.Avoid)
	request := f.routeRequest(now, need, &avoid, weights)
	for range maxPlacementTries {
		choice, err := f.pickPaced(now, request)
		if err != nil {
			if refusal := new(route.Refusal); errors.As(err, &refusal) && refusal.Deferred {
				return nil, merry.Wrap(ErrShouldWait)
			}
			return nil, merry.Wrap(ErrNoInstance)
		}
		verdict := f.monitor.Verdict(now, need.Fingerprint, choice.Key.Instance)
		f.broadcast(verdict.Update)
		switch verdict.Decision {
		case poison.Run, poison.RunAlone:
			slot := f.reserve(now, need, request, choice.Key)
			slot.Suspect = verdict.Decision == poison.RunAlone
			return slot, nil
		case poison.Quarantined:
			return nil, merry.Wrap(ErrQuarantined)
		case poison.Hold:
			return nil, merry.Wrap(ErrNoInstance)
		case poison.RunElsewhere:
			avoid = append(avoid, choice.Key.Instance)
		}
	}
	return nil, merry.Wrap(ErrNoInstance)
}

// routeRequest returns the request for the picker. The picker sees instances that are
// added to avoid later. The caller must hold f.mu.
func (f *Fleet) routeRequest(now time.Time, need *Requirements, avoid *[]model.InstanceID, weights model.Weights) *route.Request {
	request := &route.Request{Pool: need.Pool, Weights: weights, OfferedAt: need.OfferedAt}
	if need.Prefix != 0 {
		request.Prefix = []uint64{uint64(need.Prefix.Block(weights))}
		request.AffinityBlocks = 1
	}
	request.Allowed = func(key route.Key) bool {
		if slices.Contains(*avoid, key.Instance) {
			return false
		}
		m, ok := f.view.Member(key.Instance)
		return ok && m.Usable(now) && f.linkOf(key.Instance) != nil
	}
	request.HasCapacity = func(key route.Key) bool { return f.limiter(key).CanAcquire() }
	return request
}

// reserve takes a slot on the given instance. The caller must hold f.mu.
func (f *Fleet) reserve(now time.Time, need *Requirements, request *route.Request, key route.Key) *Slot {
	l := f.limiter(key)
	l.Acquire()
	f.attemptsSent[key.Instance]++
	f.picker.Started(now, key, request.Prefix)
	f.broadcast(f.monitor.Started(now, need.Fingerprint, key.Instance))
	sample := f.pacer.placed(key, request.Pool, l.InFlight(), f.slots(key), now)
	return &Slot{Key: key, Link: f.linkOf(key.Instance), Weights: request.Weights, fingerprint: need.Fingerprint, sample: sample}
}

// limiter returns the limiter of a generation and creates it if necessary. The caller
// must hold f.mu.
func (f *Fleet) limiter(key route.Key) *admit.Limiter {
	l := f.limiters[key]
	if l == nil {
		l = admit.NewLimiter(f.cfg.Limiter)
		f.limiters[key] = l
	}
	return l
}

// Finish releases a slot and records how its attempt ended.
func (f *Fleet) Finish(slot *Slot, o outcome.Outcome, result route.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	// The limiter of a generation that has left was deleted and must not be
	// created again.
	if l := f.limiters[slot.Key]; l != nil {
		l.Release()
	}
	f.pacer.finished(slot.sample, result == route.ResultError, now)
	if f.picker.Finished(now, slot.Key, result) {
		f.pacer.ejected(slot.Key, now)
		f.cfg.Log.Log(eventlog.BackendServerEjected, "instance", slot.Key.Instance)
	}
	f.broadcast(f.monitor.Finished(now, slot.fingerprint, slot.Key.Instance, o))
	f.signalCapacity()
}

// ObserveFirstFrame records that the first frame of a response has arrived.
func (f *Fleet) ObserveFirstFrame(slot *Slot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pacer.answered(slot.sample, f.cfg.Clock.Now())
	if slot.sample.server != nil {
		f.signalCapacity()
	}
}

// ObserveFirstToken records the time from dispatch to the first frame.
func (f *Fleet) ObserveFirstToken(slot *Slot, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.limiters[slot.Key]; l != nil {
		l.ObserveFirstToken(f.cfg.Clock.Now(), d)
	}
}

// ObserveBetweenTokens records the mean time between the frames of an answer.
func (f *Fleet) ObserveBetweenTokens(slot *Slot, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.limiters[slot.Key]; l != nil {
		l.ObserveBetweenTokens(f.cfg.Clock.Now(), d)
	}
}

// ObserveRefusal records that the instance refused the request for lack of capacity.
func (f *Fleet) ObserveRefusal(slot *Slot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.limiters[slot.Key]; l != nil {
		l.ObserveRefusal(f.cfg.Clock.Now())
	}
}

// WithdrawSuspect records that a held suspect no longer has to run.
func (f *Fleet) WithdrawSuspect(fingerprint model.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broadcast(f.monitor.Withdraw(f.cfg.Clock.Now(), fingerprint))
}
