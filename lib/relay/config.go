package relay

import "time"

// Config holds the timing of a relay.
type Config struct {
	// MaxPropagation is the shortest time in which a change must be known everywhere.
	MaxPropagation time.Duration
	// Wait is how long a call of the store waits for a change where nobody follows
	// this instance.
	Wait time.Duration
	// BatchDelay is the pause after changes in which further ones gather before the store
	// is called again: each call is paid for. Zero calls again at once.
	BatchDelay time.Duration
}

const (
	// defaultBound is assumed where none is set, as brief as usual ones.
	defaultBound = 2 * time.Second
	// confirmShare is the part of the bound after which the instance that others
	// follow calls the store again, and staleShare the age of its last answer at which
	// it is not to be followed. What is left of the bound is for a call of the store
	// by its followers.
	confirmShare = 0.25
	staleShare   = 0.5
	// checkShare is the part of the bound after which an instance looks whether it may
	// still be followed. Each second time it tells its followers that it is there;
	// silenceShare is the silence after which they give it up.
	checkShare   = 0.125
	silenceShare = 0.5
	// minAvoid and maxAvoid bound the time for which an instance that could not be
	// followed is not asked again.
	minAvoid = time.Second
	maxAvoid = 4 * time.Second
	// dialTimeout bounds the time to connect within a region.
	dialTimeout = 200 * time.Millisecond
)

func share(of time.Duration, part float64) time.Duration { return time.Duration(part * float64(of)) }

// SavesStoreCalls reports whether n instances cost more calls of the store by themselves than
// one of them that confirms often.
func (c Config) SavesStoreCalls(n int) bool {
	return time.Duration(n)*share(c.MaxPropagation, confirmShare) > c.Wait
}
