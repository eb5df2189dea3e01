// Package pace limits the concurrency of a backend server that has just started or
// recovered, and determines from its responses what it can sustain. Such a server is
// slow for some seconds, and how slow is not known: without a limit it is flooded, as it
// is idle and so seems to be the best one, and with a fixed ramp it is left idle while
// others are full.
//
// The window, the number of requests that may be in flight, doubles with each response
// time in which responses are in time, and is halved if one is late. It also grows
// slowly with time while no request waits, as a server that gets few requests gives little
// evidence.
//
// Nothing in this package is safe for concurrent use. The current time is passed in.
package pace
