package gate

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

const (
	// defaultCapacity is the number of requests that run at once.
	defaultCapacity = 32
	// defaultReplayBytes bounds the unconfirmed frames of one attempt.
	defaultReplayBytes = 1 << 20
	// defaultWindow is the time for which attempt ids are remembered. Entries
	// trust "never seen" for half of it.
	defaultWindow = 10 * time.Minute
	// defaultWindowSize bounds the remembered ids, about 100 bytes each.
	defaultWindowSize = 128 << 10
	// defaultReattach is the time that an entry has to come back before a
	// repeatable attempt is cancelled.
	defaultReattach = 10 * time.Second
	// defaultRetain is the time for which the answer of an ended attempt is kept
	// for an entry that has not confirmed it.
	defaultRetain = 30 * time.Second
	// defaultRetryAfter is the advice with a refusal for lack of capacity.
	defaultRetryAfter = 500 * time.Millisecond
	// lostHold is the time for which the fingerprints of attempts that failed
	// with the backend server wait for the crash to be noticed.
	lostHold = 5 * time.Second
	// maxFrameData bounds the data of one frame in bytes.
	maxFrameData = 256 << 10
)

// Config holds the limits of a gate. Zero values take defaults.
type Config struct {
	Capacity        int
	ReplayBytes     int
	DuplicateWindow time.Duration
	MaxWindowIDs    int
	ReattachTimeout time.Duration
	AnswerRetention time.Duration
	RetryAfter      time.Duration
	// OnChange is called without locks after what the gate admits has changed, so
	// that entries can be told before their next heartbeat. It may be nil.
	OnChange func()
	// OnRefusal is called without locks for each refusal. It may be nil.
	OnRefusal func(outcome.Reason)
}

func (c Config) applyDefaults() Config {
	ints := func(v *int, fallback int) {
		if *v <= 0 {
			*v = fallback
		}
	}
	times := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	if c.OnRefusal == nil {
		c.OnRefusal = func(outcome.Reason) {}
	}
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	ints(&c.Capacity, defaultCapacity)
	ints(&c.ReplayBytes, defaultReplayBytes)
	ints(&c.MaxWindowIDs, defaultWindowSize)
	times(&c.DuplicateWindow, defaultWindow)
	times(&c.ReattachTimeout, defaultReattach)
	times(&c.AnswerRetention, defaultRetain)
	times(&c.RetryAfter, defaultRetryAfter)
	return c
}
