package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// AttemptInfo is what a backend server is told about one attempt, in addition to the
// caller's own headers.
type AttemptInfo struct {
	// Server is the only server that may run the request.
	Server *directory.Server
	// Team is the team that the caller's key belongs to; empty on public routes without
	// a key.
	Team string
	// Remaining is the time until the deadline; zero sets no limit.
	Remaining time.Duration
	// LastEventID is the event after which the stream continues; negative starts it
	// from the beginning.
	LastEventID int64
	// Version is the only version of the weights that may run the request; zero accepts
	// any.
	Version int
	// HasRank is set if the configuration declares ranks that differ, and the server is an
	// engine. Rank is then that of the request; 0 is the highest.
	HasRank bool
	Rank    int
}
