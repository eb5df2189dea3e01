package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// server is what a Picker knows of one start of a backend server.
type server struct {
	seen *directory.Server
	// own is what this entry has placed there, for itself and for others.
	own Usage
	// running is the course of own.Running.
	running course
	// load is the last report, and foreign the requests in it that others have
	// placed.
	load    Load
	loadAt  time.Time
	foreign int
	// lastStart is when this entry sent its last request.
	lastStart time.Time
	// openedAt is when it began to take requests, as far as reports tell.
	openedAt time.Time
	// foreignTokens are prompt tokens that others have placed.
	foreignTokens int
	// answerTime is the smoothed time of an answer of a plain service.
	answerTime time.Duration
	// failures counts those in a row; ejections how often it was ejected for
	// them.
	failures, ejections int
	// failedFor is the holder of the last lease that failed.
	failedFor    string
	ejectedUntil time.Time
	// mismatched tells that it is ejected because it was not what it was believed to
	// be.
	mismatched bool
	// pausedUntil is until when it wants nothing from this entry, pausedAt when that
	// began.
	pausedAt, pausedUntil time.Time
	// superseded tells that a later start has its address.
	superseded bool
}

// occupancy estimates the requests that run or wait there.
func (s *server) occupancy(now time.Time) int {
	if !s.reports(now) {
		return s.own.Running
	}
	return s.own.Running + s.foreign
}

// reports reports whether the last report counts as current.
func (s *server) reports(now time.Time) bool {
	return !s.loadAt.IsZero() && now.Sub(s.loadAt) <= loadAge
}

// change adds to the usage.
func (s *server) change(running, reading, tokens int, now time.Time) {
	s.own.Running += running
	s.own.Prefilling += reading
	s.own.PrefillTokens += tokens
	if running != 0 {
		s.running.set(s.own.Running, now)
	}
}

// pace is how much slower than declared the server works.
func (s *server) pace(now time.Time) float64 {
	if s.load.Slowdown <= 0 || now.Sub(s.loadAt) > loadAge {
		return 1
	}
	return max(1, s.load.Slowdown)
}

// reserved reports whether entries of other regions leave the server alone for
// now.
func (s *server) reserved(now time.Time) bool {
	if !s.reports(now) {
		return false
	}
	return now.Sub(s.openedAt) < openingTime || now.Sub(s.lastStart) < distantInterval
}

// closed reports whether the server takes no requests now.
func (s *server) closed(now time.Time) bool {
	return s.superseded || s.load.Closed && now.Sub(s.loadAt) <= loadAge
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// corrected takes note that what is known of the server has changed: requests that
// met something else tell nothing any more.
func (s *server) corrected() {
	if s.mismatched {
		s.mismatched, s.ejections, s.ejectedUntil = false, 0, time.Time{}
	}
}

// slots is the number of requests that run at the same time.
func (s *server) slots() int {
	if s.seen == nil {
		return 1
	}
	return max(1, s.seen.Slots)
}

// loadAge is the age of the last report; negative if there is none.
func (s *server) loadAge(now time.Time) time.Duration {
	if s.loadAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(s.loadAt)
}
