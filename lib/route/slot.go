package route

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// slot is the state of one instance in a Picker.
type slot struct {
	Instance
	pool    uint32   // number in Picker.pools
	live    []uint32 // numbers in Picker.live
	number  int      // position in Picker.slots and in the prefix index
	hash    uint64
	load    loadTracker
	outlier outlier
	cache   cacheSync
	// warmSince is when the instance joined, loaded other weights, or came back
	// from an ejection: the begin of its slow start.
	warmSince instant
	heard     instant // when the last report arrived
}

func newSlot(now instant, in Instance, capacity int) *slot {
	return &slot{
		Instance:  in,
		hash:      rendezvous.Hash(string(in.ID)),
		load:      loadTracker{capacity: capacity},
		warmSince: now,
	}
}

// hasWeights reports whether the instance may serve weights with a number of
// Picker.live. Number 0 stands for a request without weights.
func (s *slot) hasWeights(number uint32) bool {
	return number == 0 || slices.Contains(s.live, number)
}

// warmth returns the share of its full work that the instance may get.
func (s *slot) warmth(now instant, cfg *Config) float64 {
	age := now.sub(max(s.warmSince, s.outlier.until))
	if age >= cfg.SlowStart {
		return 1
	}
	share := float64(max(age, 0)) / float64(cfg.SlowStart)
	return cfg.SlowStartShare + (1-cfg.SlowStartShare)*share
}

// use returns the requests that the instance is believed to have, and the share
// of its capacity that one of them fills.
func (s *slot) use(now instant, cfg *Config) (requests, one float64) {
	return s.load.requests(now, cfg.ReportHalfLife), 1 / (float64(s.load.capacity) * s.warmth(now, cfg))
}
