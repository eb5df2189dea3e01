package configsim

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
)

const (
	// fixedInterval and fixedRetry are the baseline: the interval of a small
	// deployment at any size, and a retry each second after a failure.
	fixedInterval = 2 * time.Second
	fixedRetry    = time.Second
)

// pace says when an entry polls the store.
type pace interface {
	Next() time.Time
	PollDone(err error, more bool, fleet config.FleetSize, now time.Time)
}

// fixedPace polls at fixed intervals without jitter or backoff.
type fixedPace struct{ next time.Time }

// Next implements pace.
func (f *fixedPace) Next() time.Time { return f.next }

// PollDone implements pace.
func (f *fixedPace) PollDone(err error, _ bool, _ config.FleetSize, now time.Time) {
	f.next = now.Add(fixedInterval)
	if err != nil {
		f.next = now.Add(fixedRetry)
	}
}
