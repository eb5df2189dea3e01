package route

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// slot holds the state of one instance in a Picker.
type slot struct {
	Instance
	poolID    uint32   // ID in Picker.poolIDs
	weightIDs []uint32 // IDs in Picker.weightIDs
	index     int      // index in Picker.slots and in the prefix index
	hash      uint64
	load      loadTracker
	outlier   outlier
	cache     cacheSync
	// slowStartSince is the start of the slow start: when the instance joined or
	// loaded other weights. The end of an ejection starts it again.
	slowStartSince instant
	reportedAt     instant // arrival time of the last report
	// minInterval is the time between two requests of this entry that the rate limit
	// of the backend server allows; lastStartedAt is when the last one was sent.
	minInterval   time.Duration
	lastStartedAt instant
}

func newSlot(now instant, in Instance, capacity int) *slot {
	return &slot{
		Instance:       in,
		hash:           rendezvous.Hash(string(in.ID)),
		load:           loadTracker{capacity: capacity},
		slowStartSince: now,
	}
}

// hasWeights reports whether the instance may serve the weights with an ID of
// Picker.weightIDs. ID 0 stands for a request without weights.
func (s *slot) hasWeights(id uint32) bool {
	return id == 0 || slices.Contains(s.weightIDs, id)
}

// rateLimitWait returns the time until the rate limit of the backend server allows
// this entry another request.
func (s *slot) rateLimitWait(now instant) time.Duration {
	if s.minInterval <= 0 || s.lastStartedAt == 0 {
		return 0
	}
	return max(0, s.minInterval-now.sub(s.lastStartedAt))
}

// slowStartFactor returns the share of its full load that the instance may get
// now, from Config.SlowStartShare to 1.
func (s *slot) slowStartFactor(now instant, cfg *Config) float64 {
	age := now.sub(max(s.slowStartSince, s.outlier.ejectedUntil))
	if age >= cfg.SlowStart {
		return 1
	}
	share := float64(max(age, 0)) / float64(cfg.SlowStart)
	return cfg.SlowStartShare + (1-cfg.SlowStartShare)*share
}

// usage returns the estimated number of requests on the instance and the share
// of its capacity that one of them uses.
func (s *slot) usage(now instant, cfg *Config) (requests, share float64) {
	return s.load.requests(now, cfg.ReportHalfLife), 1 / (float64(s.load.capacity) * s.slowStartFactor(now, cfg))
}
