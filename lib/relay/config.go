package relay

import "time"

// Config configures the timing of a relay.
type Config struct {
	// MaxPropagation is the time limit within which a change must be known to
	// all instances.
	MaxPropagation time.Duration
	// LongPollTimeout is how long a call to the store waits for a change if no instance
	// follows this one.
	LongPollTimeout time.Duration
	// BatchDelay is the pause after changes before the store is called again,
	// so that further changes are read with the same call: each call is paid
	// for. Zero means no pause.
	BatchDelay time.Duration
}

const (
	// defaultMaxPropagation applies if none is set. It is as short as usual
	// settings.
	defaultMaxPropagation = 2 * time.Second
	// confirmFraction is the part of MaxPropagation after which an instance
	// with followers calls the store again. staleFraction is the part after
	// which an instance without an answer from the store must not be followed.
	// The rest is left for the followers' own calls to the store.
	confirmFraction = 0.25
	staleFraction   = 0.5
	// checkFraction is the part of MaxPropagation after which an instance
	// checks whether it may still be followed. After every second check it
	// sends a keep-alive message to waiting followers. answerTimeoutFraction is
	// the part without any message after which they stop following it.
	checkFraction         = 0.125
	answerTimeoutFraction = 0.5
	// progressFraction is the part of MaxPropagation without any data after which an
	// answer of the store no longer counts as arriving.
	progressFraction = 0.25
	// holdFraction is the part of MaxPropagation for which an instance that is asked to stand
	// in, or for its first table, may take until an answer of the store arrives. Two such
	// instances leave a follower a quarter of it after staleFraction.
	holdFraction = 0.125
	// readFraction is the part of MaxPropagation after the last sign that the followed
	// instance was up to date at which a follower reads the store itself, whatever the
	// instances are doing that it may still ask. latestReadFraction is the part after the last
	// confirmation by the store that an instance told of; it leaves time for small rows.
	readFraction       = 0.7
	latestReadFraction = 0.85
	// refuseFraction is the part for which an instance that could not read the store is not
	// asked again to stand in, and maxRetryFraction the part for which the others are asked
	// after the own call to the store has failed.
	refuseFraction   = 1.0
	maxRetryFraction = 0.7
	// heldTimeoutFraction is the part without any message after which a query that is held
	// ends. It is short, as all instances of a failure domain may fall silent together.
	heldTimeoutFraction = 0.25
	// standInFraction is the part of MaxPropagation for which an instance stands in after it
	// was last asked. Followers ask several times in it while they wait for changes.
	standInFraction = 0.5
	// minAvoid and maxAvoid limit the time for which an instance that could not
	// be followed is not queried again.
	minAvoid = time.Second
	maxAvoid = 4 * time.Second
	// settleBounds is the multiple of MaxPropagation after its start for which an instance
	// checks its role often.
	settleBounds = 2
	// roleCheckInterval is how often an instance that has just started checks whether
	// another one can be followed.
	roleCheckInterval = 50 * time.Millisecond
	// dialTimeout is the time limit for connecting within a region.
	dialTimeout = 200 * time.Millisecond
)

// fraction returns part times d.
func fraction(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// SavesStoreCalls reports whether relaying takes fewer calls to the store than
// n instances that each read the store themselves.
func (c Config) SavesStoreCalls(n int) bool {
	return time.Duration(n)*fraction(c.MaxPropagation, confirmFraction) > c.LongPollTimeout
}
