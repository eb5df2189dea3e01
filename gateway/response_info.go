package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

// ResponseInfo is what a backend server states in the head of a response.
type ResponseInfo struct {
	// RequestID is the request that the response belongs to; empty if the response names
	// none or several.
	RequestID string
	// Signed is set if the response carries the signature of a backend server.
	Signed bool
	// NotExecuted is set if the server did not run the request named by RequestID.
	NotExecuted bool
	// Misdirected is set if the address belongs to another server by now.
	Misdirected bool
	// Instance is the ID of the server that responds; empty unless the response is
	// misdirected and names no request.
	Instance string
	// Version is the version of the weights that the response was made with; zero if
	// unknown.
	Version int
	// Draining is set if the server is about to stop and accepts no further requests.
	Draining bool
	// Pause is how long this entry must send the server no requests; zero for no pause.
	Pause time.Duration
	// RateLimit is what the server says about the requests that it takes from all
	// entries together.
	RateLimit ratelimit.Statement
	// Load is the server's load; nil if it did not report it.
	Load *Load
}

// Load is the load of a backend server at the time of a response.
type Load struct {
	// Running, Queued and Slots are counts of requests.
	Running, Queued, Slots int
	// Work is the ratio of the time that work takes on the server to the usual time; zero
	// means unknown.
	Work float64
}
