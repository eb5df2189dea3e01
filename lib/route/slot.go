package route

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// slot is the state of one instance in a Picker.
type slot struct {
	Instance
	number  int // position in Picker.slots and in the prefix index
	hash    uint64
	load    loadTracker
	outlier outlier
	cache   cacheSync
	// warmSince is when the instance joined, loaded other weights, or came back
	// from an ejection: the begin of its slow start.
	warmSince time.Time
	heard     time.Time // when the last report arrived
}

func newSlot(now time.Time, in Instance, capacity int) *slot {
	return &slot{
		Instance:  in,
		hash:      rendezvous.Hash(string(in.ID)),
		load:      loadTracker{capacity: capacity},
		warmSince: now,
	}
}

// update takes new facts about the same generation and reports whether it has
// loaded weights that it did not have, which begins a slow start.
func (s *slot) update(now time.Time, in Instance) (loaded bool) {
	for i := range in.Live {
		loaded = loaded || !s.hasWeights(in.Live[i])
	}
	if loaded {
		s.warmSince = now
	}
	in.Draining = in.Draining || s.Draining
	in.Live = append([]model.Weights(nil), in.Live...)
	s.Instance = in
	return loaded
}

// warmth returns the share of its full work that the instance may get.
func (s *slot) warmth(now time.Time, cfg *Config) float64 {
	from := s.warmSince
	if s.outlier.until.After(from) {
		from = s.outlier.until
	}
	age := now.Sub(from)
	if age >= cfg.SlowStart {
		return 1
	}
	share := float64(max(age, 0)) / float64(cfg.SlowStart)
	return cfg.SlowStartShare + (1-cfg.SlowStartShare)*share
}

// busy returns the share of the capacity that one more request would fill.
func (s *slot) busy(now time.Time, cfg *Config) float64 {
	return (s.load.requests(now, cfg.ReportHalfLife) + 1) / (float64(s.load.capacity) * s.warmth(now, cfg))
}
