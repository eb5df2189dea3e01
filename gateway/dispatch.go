package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// AttemptInfo is what a backend server is told about a request besides what its
// caller sent.
type AttemptInfo struct {
	// Server is the only one that may run it.
	Server *directory.Server
	// Team holds the caller's key; empty on public routes without a key.
	Team string
	// Remaining is the time until nobody waits any more; zero sets no limit.
	Remaining time.Duration
	// LastEventID is the event after which the stream goes on; negative starts it.
	LastEventID int64
	// Version is the only version of the weights that may run it; zero accepts
	// any.
	Version int
}
