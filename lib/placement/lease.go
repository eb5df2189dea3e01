package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Lease is the placement of a request on a server. Picker.Done ends it.
type Lease struct {
	Server *directory.Server
	// Predicted is the predicted time to the first response.
	Predicted time.Duration
	// Occupancy is the estimated number of requests on the server before this one.
	// LoadAge is the age of the load report that the estimate is based on; negative if
	// there is none.
	Occupancy int
	LoadAge   time.Duration

	// LimitChecked is set if the placement respects the rate limit of the server.
	LimitChecked bool
	// Usage is the usage of the server by this entry, including this request.
	Usage Usage

	state *server
	// entry is the entry that serves the request; empty if it is the entry of the
	// Picker.
	entry        string
	promptTokens int
	started      time.Time
	// distance is the part of Predicted that is due to the distance of the server.
	distance time.Duration
	// slots is the number of requests that the server runs concurrently. engine is set if
	// it is an engine, which responds with a stream.
	slots  int
	engine bool
	// history is that of the service.
	history *serviceHistory
	// FirstEventWanted is set if the entry that serves the request must report the first
	// event of the response: the server, or another one of its service, is limited.
	FirstEventWanted bool
	// responding is set once the head of the response has arrived, firstEvent once its
	// first event has. An engine may send the head before it begins the request.
	responding, firstEvent bool
	done                   bool
}

// Usage is what one entry has placed on one server.
type Usage struct {
	// Running counts its requests, Prefilling those whose response has not started, and
	// PrefillTokens the prompt tokens of the latter.
	Running, Prefilling, PrefillTokens int
}
