package gateway

import "time"

// DrainTimes are the points in time of a planned stop.
type DrainTimes struct {
	// ListenerCloses is the time until which callers open new connections.
	ListenerCloses time.Time
	// Ends is when EndDrain will be called.
	Ends time.Time
}
