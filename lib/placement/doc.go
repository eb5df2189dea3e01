// Package placement chooses the backend server for a request by the predicted time
// to its first response, and refuses requests that no server can respond to in time.
// It is designed for two kinds of load: a steady load, which it spreads over servers
// of different speed and distance, and a burst beyond the capacity of the servers,
// during which it refuses requests that would only queue, so that the others are
// served in time.
//
// A Picker and a LeaseTable are not safe for concurrent use. The current time is
// passed in by the caller.
package placement
