// Package route picks the backend server instance for a request.
//
// A Picker takes instance updates, load reports, cache events, and the starts
// and results of requests, and returns one instance or a typed refusal. It is
// not safe for concurrent use; its owner is one goroutine or a mutex of the
// assembly. Times of successive calls must not go back.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Picker picks instances.
type Picker struct {
	cfg    Config
	rng    *rand.Rand
	base   time.Time // of instants
	slots  []*slot   // by number; nil where free
	byKey  map[Key]*slot
	prefix *prefixIndex
	pools  numbering[string]
	live   numbering[model.Weights]
	best   []scored // reused by Pick
}

// New returns a Picker without instances. The random source must not be shared
// with concurrent users.
func New(cfg Config, rng *rand.Rand) *Picker {
	cfg.applyDefaults()
	return &Picker{
		cfg:    cfg,
		rng:    rng,
		byKey:  make(map[Key]*slot),
		pools:  make(numbering[string]),
		live:   make(numbering[model.Weights]),
		prefix: newPrefixIndex(cfg.PrefixTTL, cfg.MaxPrefixes),
	}
}

// Update adds an instance or takes new facts about one. A generation that is
// draining stays so. The caller removes a generation that was replaced.
func (p *Picker) Update(now time.Time, in Instance) {
	if s, ok := p.byKey[in.Key()]; ok {
		in.Draining = in.Draining || s.Draining
		if p.describe(s, in) {
			s.warmSince = p.instant(now)
			p.prefix.removeAll(s.number)
		}
		return
	}
	s := newSlot(p.instant(now), in, p.cfg.DefaultCapacity)
	p.describe(s, in)
	if s.warmSince < instant(baseAge).add(p.cfg.SlowStart) {
		// An entry that has just started does not know which instances are new.
		s.warmSince = s.warmSince.add(-p.cfg.SlowStart)
	}
	s.number = len(p.slots)
	for n, other := range p.slots {
		if other == nil {
			s.number = n
			break
		}
	}
	if s.number == len(p.slots) {
		p.slots = append(p.slots, nil)
	}
	p.slots[s.number] = s
	p.byKey[in.Key()] = s
}

// describe takes the facts about an instance and reports whether it has loaded
// weights that it did not have.
func (p *Picker) describe(s *slot, in Instance) (loaded bool) {
	live := make([]uint32, len(in.Live))
	for i, w := range in.Live {
		live[i] = p.live.of(w)
		loaded = loaded || !s.hasWeights(live[i])
	}
	s.Instance = in
	s.Live = slices.Clone(in.Live)
	s.live = live
	s.pool = p.pools.of(in.Pool)
	return loaded
}

// Remove forgets a generation that has left. The cap on ejections is kept by
// readmitting instances of the smaller pool.
func (p *Picker) Remove(now time.Time, key Key) {
	s, ok := p.byKey[key]
	if !ok {
		return
	}
	delete(p.byKey, key)
	p.slots[s.number] = nil
	p.prefix.removeAll(s.number)
	p.keepEjectionCap(p.instant(now), s.Pool)
}

// Drain marks a generation as leaving. It is not picked again.
func (p *Picker) Drain(key Key) {
	if s, ok := p.byKey[key]; ok {
		s.Draining = true
	}
}

// LoadReport is an instance's lagging load report. It counts as a sign of life.
type LoadReport struct {
	Running, Queued int
	// Capacity is the number of requests that the backend server runs at once;
	// 0 leaves what is known.
	Capacity int
	// Age is the time since the report was taken on the instance.
	Age time.Duration
}

// RecordLoad takes a load report.
func (p *Picker) RecordLoad(now time.Time, key Key, r LoadReport) {
	if s, ok := p.byKey[key]; ok {
		s.heard = p.instant(now)
		s.load.report(s.heard, r.Running, r.Queued, r.Capacity, r.Age)
	}
}

// ApplyCacheEvent takes one cache event. When it returns true the caller fetches a
// snapshot and hands it to CacheSync; until then events are ignored.
func (p *Picker) ApplyCacheEvent(now time.Time, key Key, e CacheEvent) (resync bool) {
	s, ok := p.byKey[key]
	if !ok {
		return false
	}
	wasUnsynced := s.cache.unsynced
	switch s.cache.next(e.Sequence) {
	case cacheApply:
		p.prefix.remove(s.number, e.Removed)
		p.prefix.add(now, s.number, e.Stored)
	case cacheGap:
		if !wasUnsynced {
			// What was removed in the gap is unknown. A wrong hint overloads one
			// instance for nothing; a missing one costs one prefill.
			p.prefix.removeAll(s.number)
		}
		return true
	case cacheIgnore:
	}
	return false
}

// ApplyCacheSnapshot replaces what is known of an instance's cache. A snapshot older
// than the events applied so far is ignored.
func (p *Picker) ApplyCacheSnapshot(now time.Time, key Key, snapshot CacheSnapshot) {
	s, ok := p.byKey[key]
	if !ok || snapshot.Sequence < s.cache.lastSeq {
		return
	}
	s.cache = cacheSync{lastSeq: snapshot.Sequence}
	p.prefix.removeAll(s.number)
	p.prefix.add(now, s.number, snapshot.Blocks)
}

// HasCached reports whether a block is believed to be cached on any instance.
func (p *Picker) HasCached(block uint64) bool { return p.prefix.has(block) }

// Started tells that a request was sent to an instance. The instance will have
// cached the request's prefix when it is done with the prefill.
func (p *Picker) Started(now time.Time, key Key, prefix []uint64) {
	if s, ok := p.byKey[key]; ok {
		s.load.add(p.instant(now), 1)
		p.prefix.add(now, s.number, prefix)
	}
}

// Finished tells how a started request ended. It returns true when the instance
// was ejected for it.
func (p *Picker) Finished(now time.Time, key Key, r Result) (ejected bool) {
	s, ok := p.byKey[key]
	if !ok {
		return false
	}
	at := p.instant(now)
	s.load.add(at, -1)
	if !s.outlier.result(r, p.cfg.EjectThreshold) || s.outlier.ejected(at) {
		return false
	}
	if p.ejected(at, s.Pool)+1 > p.ejectionCap(s.Pool) {
		return false
	}
	s.outlier.eject(at, p.cfg.EjectThreshold, p.cfg.EjectDuration, p.cfg.MaxEjectDuration)
	return true
}

// Outstanding returns the requests that this entry has on an instance.
func (p *Picker) Outstanding(key Key) int {
	if s, ok := p.byKey[key]; ok {
		return s.load.outstanding
	}
	return 0
}
