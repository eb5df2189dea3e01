package spread

import "time"

// piece is a missing piece.
type piece struct {
	// asks are the sources that were asked and have not answered.
	asks map[string]time.Time
	// knownAt is when it came into the deployment; zero if it has not.
	knownAt time.Time
	// refused are sources that sent it spoilt or did not have it.
	refused map[string]bool
}

// source is a peer or the origin.
type source struct {
	has   map[int]bool
	asked int
}
