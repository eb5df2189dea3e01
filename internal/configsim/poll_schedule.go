package configsim

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
)

const (
	// fixedInterval is the polling interval of the baseline. It is that of a small
	// deployment and does not grow with the number of entries.
	fixedInterval = 2 * time.Second
	// fixedRetry is the time from a failed poll of the baseline to the next poll.
	fixedRetry = time.Second
)

// pollSchedule determines when an entry polls the store.
type pollSchedule interface {
	Next() time.Time
	PollDone(err error, more bool, fleet config.FleetSize, now time.Time)
}

// fixedSchedule polls at fixed intervals without jitter or backoff.
type fixedSchedule struct{ next time.Time }

// Next implements pollSchedule.
func (f *fixedSchedule) Next() time.Time { return f.next }

// PollDone implements pollSchedule.
func (f *fixedSchedule) PollDone(err error, _ bool, _ config.FleetSize, now time.Time) {
	f.next = now.Add(fixedInterval)
	if err != nil {
		f.next = now.Add(fixedRetry)
	}
}
