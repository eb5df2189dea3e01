// Package route selects the backend server instance for a request.
//
// A Picker receives instance updates, load reports, cache events, and the
// starts and results of requests, and returns one instance or a typed refusal.
// It is not safe for concurrent use; callers confine it to one goroutine or
// guard it with a mutex. The times passed to successive calls must not
// decrease.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Picker selects instances. It is not safe for concurrent use.
type Picker struct {
	cfg        Config
	rng        *rand.Rand
	base       time.Time // reference of instants
	slots      []*slot   // by index; nil if unused
	byKey      map[Key]*slot
	prefix     *prefixIndex
	poolIDs    idTable[string]
	weightIDs  idTable[model.Weights]
	candidates []candidate // buffer reused by Pick
	// rateLimitWait is the shortest time after which the rate limit of an instance that
	// the last Pick left out allows a request.
	rateLimitWait time.Duration
}

// New returns a Picker without instances. rng must not be used concurrently by
// others.
func New(cfg Config, rng *rand.Rand) *Picker {
	cfg.applyDefaults()
	return &Picker{
		cfg:       cfg,
		rng:       rng,
		byKey:     make(map[Key]*slot),
		poolIDs:   make(idTable[string]),
		weightIDs: make(idTable[model.Weights]),
		prefix:    newPrefixIndex(cfg.PrefixTTL, cfg.MaxPrefixes),
	}
}

// Update adds an instance or updates its description. A draining generation
// stays draining. Callers must remove a replaced generation themselves.
func (p *Picker) Update(now time.Time, in Instance) {
	if s, ok := p.byKey[in.Key()]; ok {
		in.Draining = in.Draining || s.Draining
		if p.updateSlot(s, in) {
			s.slowStartSince = p.instant(now)
			p.prefix.removeAll(s.index)
		}
		return
	}
	s := newSlot(p.instant(now), in, p.cfg.DefaultCapacity)
	p.updateSlot(s, in)
	if s.slowStartSince < instant(baseOffset).add(p.cfg.SlowStart) {
		// A recently started entry cannot tell which instances are new.
		s.slowStartSince = s.slowStartSince.add(-p.cfg.SlowStart)
	}
	s.index = len(p.slots)
	for n, other := range p.slots {
		if other == nil {
			s.index = n
			break
		}
	}
	if s.index == len(p.slots) {
		p.slots = append(p.slots, nil)
	}
	p.slots[s.index] = s
	p.byKey[in.Key()] = s
}

// updateSlot updates the description of an instance and reports whether it has
// loaded weights that it did not have before.
func (p *Picker) updateSlot(s *slot, in Instance) (loaded bool) {
	ids := make([]uint32, len(in.Live))
	for i, w := range in.Live {
		ids[i] = p.weightIDs.id(w)
		loaded = loaded || !s.hasWeights(ids[i])
	}
	s.Instance = in
	s.Live = slices.Clone(in.Live)
	s.weightIDs = ids
	s.poolID = p.poolIDs.id(in.Pool)
	return loaded
}

// Remove removes a generation that has left. If this puts the number of ejected
// instances of its pool above the maximum, some of them are readmitted.
func (p *Picker) Remove(now time.Time, key Key) {
	s, ok := p.byKey[key]
	if !ok {
		return
	}
	delete(p.byKey, key)
	p.slots[s.index] = nil
	p.prefix.removeAll(s.index)
	p.enforceMaxEjected(p.instant(now), s.Pool)
}

// Drain marks a generation as draining. It will not be picked again.
func (p *Picker) Drain(key Key) {
	if s, ok := p.byKey[key]; ok {
		s.Draining = true
	}
}

// LoadReport is a lagging load report of an instance. It also shows that the
// instance is alive.
type LoadReport struct {
	Running, Queued int
	// Capacity is the number of requests that the backend server runs
	// concurrently; 0 leaves the known value unchanged.
	Capacity int
	// Age is the time since the instance took the report.
	Age time.Duration
	// MinInterval is the time between two requests of this entry that the rate limit of
	// the backend server allows; zero without a limit.
	MinInterval time.Duration
}

// RecordLoad records a load report.
func (p *Picker) RecordLoad(now time.Time, key Key, r LoadReport) {
	if s, ok := p.byKey[key]; ok {
		s.reportedAt, s.minInterval = p.instant(now), r.MinInterval
		s.load.applyReport(s.reportedAt, r.Running, r.Queued, r.Capacity, r.Age)
	}
}

// ApplyCacheEvent applies a cache event. If it returns true, the caller must
// fetch a snapshot and pass it to ApplyCacheSnapshot; until then events are
// ignored.
func (p *Picker) ApplyCacheEvent(now time.Time, key Key, e CacheEvent) (resync bool) {
	s, ok := p.byKey[key]
	if !ok {
		return false
	}
	wasUnsynced := s.cache.unsynced
	switch s.cache.check(e.Sequence) {
	case cacheApply:
		p.prefix.remove(s.index, e.Removed)
		p.prefix.add(now, s.index, e.Stored)
	case cacheGap:
		if !wasUnsynced {
			// Blocks removed during the gap are unknown. A wrong hint overloads one
			// instance for nothing; a missing one costs one prefill.
			p.prefix.removeAll(s.index)
		}
		return true
	case cacheIgnore:
	}
	return false
}

// ApplyCacheSnapshot replaces the known cache content of an instance. A
// snapshot older than the last applied event is ignored.
func (p *Picker) ApplyCacheSnapshot(now time.Time, key Key, snapshot CacheSnapshot) {
	s, ok := p.byKey[key]
	if !ok || snapshot.Sequence < s.cache.lastSequence {
		return
	}
	s.cache = cacheSync{lastSequence: snapshot.Sequence}
	p.prefix.removeAll(s.index)
	p.prefix.add(now, s.index, snapshot.Blocks)
}

// HasCached reports whether a block is believed to be cached on any instance.
func (p *Picker) HasCached(block uint64) bool { return p.prefix.has(block) }

// Started records that a request was sent to an instance. The instance is
// assumed to cache the prefix of the request.
func (p *Picker) Started(now time.Time, key Key, prefix []uint64) {
	if s, ok := p.byKey[key]; ok {
		s.lastStartedAt = p.instant(now)
		s.load.addOutstanding(s.lastStartedAt, 1)
		p.prefix.add(now, s.index, prefix)
	}
}

// Finished records the result of a started request. It reports whether the
// instance was ejected because of it.
func (p *Picker) Finished(now time.Time, key Key, r Result) (ejected bool) {
	s, ok := p.byKey[key]
	if !ok {
		return false
	}
	at := p.instant(now)
	s.load.addOutstanding(at, -1)
	if !s.outlier.record(r, p.cfg.EjectThreshold) || s.outlier.ejected(at) {
		return false
	}
	if p.countEjected(at, s.Pool)+1 > p.maxEjected(s.Pool) {
		return false
	}
	s.outlier.eject(at, p.cfg.EjectThreshold, p.cfg.EjectDuration, p.cfg.MaxEjectDuration)
	return true
}

// Outstanding returns the number of requests that this entry has in progress on
// an instance.
func (p *Picker) Outstanding(key Key) int {
	if s, ok := p.byKey[key]; ok {
		return s.load.outstanding
	}
	return 0
}
