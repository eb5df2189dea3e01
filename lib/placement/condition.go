package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Condition states whether a server gets requests, and if not, why.
type Condition string

// Conditions of a server, as metrics name them.
const (
	Open     Condition = "open"
	Closed   Condition = "closed"
	Ejected  Condition = "ejected"
	Draining Condition = "draining"
	// Evacuated servers are in a failure domain that the operator evacuates.
	Evacuated Condition = "evacuated"
	// Pausing servers have asked this entry to send no requests for a while.
	Pausing Condition = "pausing"
	// Cold servers tolerate only a limited number of requests per second for a while.
	Cold Condition = "cold"
	// RateLimited servers accept a limited number of requests per second.
	RateLimited Condition = "limited"
)

// Condition returns the condition of a listed server.
func (p *Picker) Condition(listing *directory.Server, now time.Time) Condition {
	s := p.state(listing)
	switch {
	case listing.Draining:
		return Draining
	case p.Evacuated(listing.Domain):
		return Evacuated
	case s.paused(now):
		return Pausing
	case s.closed(now):
		return Closed
	case s.ejected(now):
		return Ejected
	case s.cold(now):
		return Cold
	case s.rateLimited():
		return RateLimited
	default:
		return Open
	}
}
