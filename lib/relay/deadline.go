package relay

import "time"

// readDeadline is when a follower reads the store itself, whichever instances it may still ask:
// several that are silent or behind must not use up the bound one after another.
type readDeadline struct {
	bound time.Duration
	at    time.Time
}

// confirmed notes that the rows are up to date now.
func (d *readDeadline) confirmed() { d.at = time.Now().Add(fraction(d.bound, readFraction)) }

// alive notes a message of an instance that may be followed, whose rows the store has
// confirmed before.
func (d *readDeadline) alive(age rowAge) time.Time {
	d.confirmed()
	if latest := time.Now().Add(fraction(d.bound, latestReadFraction) - age.duration(0)); latest.Before(d.at) {
		d.at = latest
	}
	return d.at
}

// behind notes that an instance must not be followed. Earlier releases do not tell when the
// store has confirmed their rows last.
func (d *readDeadline) behind(age rowAge) {
	at := time.Now().Add(fraction(d.bound, readFraction) - age.duration(fraction(d.bound, staleFraction)))
	if at.Before(d.at) {
		d.at = at
	}
}

// failed notes that the store did not answer either.
func (d *readDeadline) failed() { d.at = time.Now().Add(fraction(d.bound, maxRetryFraction)) }

// share returns when a query ends that n instances in all may still be asked after.
func (d *readDeadline) share(n int) time.Time {
	now := time.Now()
	return now.Add(d.at.Sub(now) / time.Duration(n))
}

func (d *readDeadline) passed() bool { return !time.Now().Before(d.at) }
