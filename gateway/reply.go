package gateway

import "time"

// ResponseInfo is what a backend server says about its answer.
type ResponseInfo struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Signed tells that the backend server made the answer.
	Signed bool
	// NotExecuted tells that the request was not run there.
	NotExecuted bool
	// Misdirected tells that the address belongs to another server by now.
	Misdirected bool
	// Version is the version of the weights that made the answer; zero if it is
	// not known.
	Version int
	// Draining tells that the server leaves and wants no further requests.
	Draining bool
	// Pause is how long the server wants nothing from this entry; zero for none.
	Pause time.Duration
	// Load is the server's load; nil if it did not tell.
	Load *Load
}

// Load is the load of a backend server at the time of an answer.
type Load struct {
	Running, Queued, Slots int
}
