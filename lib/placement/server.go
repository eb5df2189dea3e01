package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

// server is the state of one incarnation of a backend server.
type server struct {
	listing *directory.Server
	// usage is what this entry has placed there, for itself and for others.
	usage Usage
	// runningHistory is the history of usage.Running.
	runningHistory history
	// load is the last report, reportedAt the time of its arrival, and otherRequests
	// the requests in it that others have placed.
	load          Load
	reportedAt    time.Time
	otherRequests int
	// verifiedWeights are those that the agent of an engine last reported as intact.
	verifiedWeights VerifiedWeights
	// lastPlacedAt is when this entry last placed a request there; recentlyPlaced are
	// the times of all requests placed within limitWindow.
	lastPlacedAt   time.Time
	recentlyPlaced []time.Time
	// openedAt is when the server began to accept requests, according to reports.
	openedAt time.Time
	// otherPrefillTokens are prompt tokens that others have placed and that are waiting
	// or being processed.
	otherPrefillTokens int
	// responseTime is the mean response time, respondedAt when it was last observed, and
	// work what the server reports about it. They predict the responses of plain services.
	responseTime meanTime
	respondedAt  time.Time
	work         work
	// responseRounds counts observed responses to requests that were placed after the counted
	// response before, at roundAt; trustedRounds at most. Requests of the same moment say the
	// same about the server.
	responseRounds int
	roundAt        time.Time
	// unanswered are the starts of the requests to a plain service whose responses have not
	// begun, the oldest first.
	unanswered []time.Time
	// failures counts consecutive failures, ejections consecutive ejections.
	failures, ejections int
	// lastFailedEntry is the entry of the last lease that failed.
	lastFailedEntry string
	ejectedUntil    time.Time
	// mismatched is set if the server is ejected because it did not match its listing.
	mismatched bool
	// pausedAt and pausedUntil are the start and end of the last pause.
	pausedAt, pausedUntil time.Time
	// limit is the request rate that the server accepts from all entries together.
	limit ratelimit.Limit
	// limitLiftedAt is when this entry learned that the server has lifted its limit.
	limitLiftedAt time.Time
	// bookedUntil is the latest time at which a refused caller was told to return.
	bookedUntil time.Time
	// coldUntil is the time until which the server is cold, according to the row with
	// coldRevision, which states coldTime. A restored store may give out the revision again.
	coldUntil    time.Time
	coldRevision int64
	coldTime     time.Duration
	// limits limit the concurrency of a server that has just started or recovered.
	limits concurrencyLimits
	// awaiting counts the requests whose first event is wanted and has not come.
	awaiting int
	// startedAt is when this entry has noticed that the server had started under load; zero
	// after its first request, and if it had not.
	startedAt time.Time
	// superseded is set if a later incarnation has the address.
	superseded bool
}

// occupancy estimates the number of requests that run or wait there.
func (s *server) occupancy(now time.Time) int {
	if !s.hasReport(now) {
		return s.usage.Running
	}
	return s.usage.Running + s.otherRequests
}

// hasReport reports whether the last report is current.
func (s *server) hasReport(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= maxReportAge
}

// addUsage adds to the usage of the server by this entry.
func (s *server) addUsage(running, prefilling, prefillTokens int, now time.Time) {
	s.usage.Running += running
	s.usage.Prefilling += prefilling
	s.usage.PrefillTokens += prefillTokens
	if running != 0 {
		s.runningHistory.set(s.usage.Running, now)
	}
}

// addAwaiting adds to the number of requests that wait for their first event.
func (s *server) addAwaiting(n int, now time.Time) {
	s.awaiting += n
	s.limits.setWaiting(s.awaiting > 0, now)
}

// slowdown is the ratio of the current to the declared processing time, at least 1.
func (s *server) slowdown(now time.Time) float64 {
	if s.load.Slowdown <= 0 || now.Sub(s.reportedAt) > maxReportAge {
		return 1
	}
	return max(1, s.load.Slowdown)
}

// justOpened reports whether entries of other regions must not use the server yet.
func (s *server) justOpened(now time.Time) bool {
	return s.hasReport(now) && now.Sub(s.openedAt) < localOnlyTime
}

// placedRecently reports whether entries of other regions should not send the server
// another request yet.
func (s *server) placedRecently(now time.Time) bool {
	return s.hasReport(now) && now.Sub(s.lastPlacedAt) < remoteInterval
}

// closed reports whether the server accepts no requests. A closed server stays closed if
// its agent stops reporting: only the agent knows when what an engine took is verified.
func (s *server) closed(now time.Time) bool {
	return s.superseded || s.load.Closed || !s.verified(now)
}

// verified reports whether the weights that the server's row names are those that its agent
// has reported as intact. An engine writes its row itself and does not verify what it takes.
// Requests name the version, so that an engine which has taken another one since rejects
// them. Plain services have no weights.
func (s *server) verified(now time.Time) bool {
	if s.listing == nil || len(s.listing.Weights) == 0 {
		return true
	}
	listed, ok := s.listing.Weights[s.verifiedWeights.Model]
	return ok && listed.Version <= s.verifiedWeights.Version && now.Before(s.verifiedWeights.Until)
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// clearMismatch ends an ejection for a mismatch: the listing has been updated since.
func (s *server) clearMismatch() {
	if s.mismatched {
		s.mismatched, s.ejections, s.ejectedUntil = false, 0, time.Time{}
	}
}

// slots is the number of requests that the server runs concurrently.
func (s *server) slots() int {
	if s.listing == nil {
		return 1
	}
	return max(1, s.listing.Slots)
}

// reportAge is the age of the last report; negative if there is none.
func (s *server) reportAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(s.reportedAt)
}
