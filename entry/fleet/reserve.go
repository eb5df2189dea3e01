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

// maxPlacements bounds the instances that are tried for one suspect at a time.
const maxPlacements = 8

var (
	// ErrQuarantined means that the request crashed several backend servers.
	ErrQuarantined = merry.New("request is quarantined")
	// ErrShouldWait means that an instance is free, but that the request should wait
	// for a better one.
	ErrShouldWait = merry.New("request waits for a better instance")
	// ErrNoInstance means that no instance can take the request now.
	ErrNoInstance = merry.New("no instance can take the request")
)

// Requirements says what instance a request needs.
type Requirements struct {
	Pool string
	// Weights are the weights that may serve the request, in order of
	// preference. It holds the zero value for plain services.
	Weights     []model.Weights
	Fingerprint model.Fingerprint
	// Prefix is the hash of the prompt's beginning; zero means no affinity.
	Prefix engine.Prefix
	// Avoid lists instances of earlier attempts.
	Avoid []model.InstanceID
	// OfferedAt is when the request was first offered for placing.
	OfferedAt time.Time
}

// Slot is an instance that was reserved for a request. Finish gives it back.
type Slot struct {
	Key     route.Key
	Link    *link.Link
	Weights model.Weights
	// Suspect says that the request was in flight when a backend server crashed.
	Suspect bool
	finger  model.Fingerprint
}

// Reserve picks an instance and takes a slot on it, or returns one of the
// errors of this package.
func (f *Fleet) Reserve(need *Requirements) (*Slot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	if f.monitor.Quarantined(now, need.Fingerprint) {
		return nil, merry.Wrap(ErrQuarantined)
	}
	refusal := merry.Wrap(ErrNoInstance)
	for _, weights := range need.Weights {
		slot, err := f.reserveFor(now, need, weights)
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

func (f *Fleet) reserveFor(now time.Time, need *Requirements, weights model.Weights) (*Slot, error) {
	// An instance that runs another suspect now is avoided by this try only.
	avoid := slices.Clone(need.Avoid)
	request := f.routeRequest(now, need, &avoid, weights)
	for range maxPlacements {
		choice, err := f.picker.Pick(now, request)
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

func (f *Fleet) routeRequest(now time.Time, need *Requirements, avoid *[]model.InstanceID, weights model.Weights) *route.Request {
	request := &route.Request{Pool: need.Pool, Weights: weights, OfferedAt: need.OfferedAt}
	if need.Prefix != 0 {
		request.Prefix = []uint64{uint64(need.Prefix.Under(weights))}
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

func (f *Fleet) reserve(now time.Time, need *Requirements, request *route.Request, key route.Key) *Slot {
	f.limiter(key).Acquire()
	f.sent[key.Instance]++
	f.picker.Started(now, key, request.Prefix)
	f.broadcast(f.monitor.Started(now, need.Fingerprint, key.Instance))
	return &Slot{Key: key, Link: f.linkOf(key.Instance), Weights: request.Weights, finger: need.Fingerprint}
}

func (f *Fleet) limiter(key route.Key) *admit.Limiter {
	l := f.limiters[key]
	if l == nil {
		l = admit.NewLimiter(f.cfg.Limiter)
		f.limiters[key] = l
	}
	return l
}

// Finish gives a slot back and tells how its attempt ended.
func (f *Fleet) Finish(slot *Slot, o outcome.Outcome, result route.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	// The limiter of a generation that has left is gone and not made again.
	if l := f.limiters[slot.Key]; l != nil {
		l.Release()
	}
	if f.picker.Finished(now, slot.Key, result) {
		f.cfg.Log.Log(eventlog.BackendServerEjected, "instance", slot.Key.Instance)
	}
	f.broadcast(f.monitor.Finished(now, slot.finger, slot.Key.Instance, o))
	f.wake()
}

// ObserveFirstToken takes the time from dispatch to the first frame.
func (f *Fleet) ObserveFirstToken(slot *Slot, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.limiters[slot.Key]; l != nil {
		l.ObserveFirstToken(f.cfg.Clock.Now(), d)
	}
}

// ObserveBetweenTokens takes the mean time between the frames of an answer.
func (f *Fleet) ObserveBetweenTokens(slot *Slot, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.limiters[slot.Key]; l != nil {
		l.ObserveBetweenTokens(f.cfg.Clock.Now(), d)
	}
}

// ObserveRefusal takes a refusal for lack of capacity.
func (f *Fleet) ObserveRefusal(slot *Slot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.limiters[slot.Key]; l != nil {
		l.ObserveRefusal(f.cfg.Clock.Now())
	}
}

// WithdrawSuspect says that a suspect that was held is no longer wanted.
func (f *Fleet) WithdrawSuspect(finger model.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broadcast(f.monitor.Withdraw(f.cfg.Clock.Now(), finger))
}
