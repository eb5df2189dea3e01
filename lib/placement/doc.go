// Package placement chooses the backend server for a request by the predicted
// time to its first answer, and refuses requests that no server can answer in
// time. It answers two loads: a steady one, in which requests must spread over
// servers of different speed and distance, and a burst beyond what the servers
// can do, in which requests that would only queue are turned away at once so
// that the others are answered in time.
//
// A Picker is not safe for concurrent use. Time is passed in.
package placement
