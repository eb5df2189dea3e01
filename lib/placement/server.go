package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// server is what a Picker knows of one start of a backend server.
type server struct {
	seen *directory.Server
	// own counts this entry's requests in flight.
	own int
	// reading counts those without a first answer, readingTokens their prompts.
	reading, readingTokens int
	// load is the last report; sinceReport is the change of own since then.
	load        Load
	loadAt      time.Time
	sinceReport int
	// answerTime is the smoothed time of an answer of a plain service.
	answerTime time.Duration
	// failures counts those in a row; ejections how often it was ejected for
	// them.
	failures, ejections int
	ejectedUntil        time.Time
}

// occupancy estimates the requests that run or wait there.
func (s *server) occupancy(now time.Time) int {
	if s.loadAt.IsZero() || now.Sub(s.loadAt) > loadAge {
		return s.own
	}
	return max(s.own, s.load.Running+s.load.Waiting+s.sinceReport)
}

// pace is how much slower than declared the server works.
func (s *server) pace(now time.Time) float64 {
	if s.load.Pace <= 0 || now.Sub(s.loadAt) > loadAge {
		return 1
	}
	return max(1, s.load.Pace)
}

// closed reports whether the server takes no requests now.
func (s *server) closed(now time.Time) bool {
	return s.load.Closed && now.Sub(s.loadAt) <= loadAge
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// slots is the number of requests that run at the same time.
func (s *server) slots() int { return max(1, s.seen.Slots) }
