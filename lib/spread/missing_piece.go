package spread

import "time"

// missingPiece is the state of a piece that this instance does not have.
type missingPiece struct {
	// requests holds the start time of each open request, by source.
	requests map[string]time.Time
	// availableAt is when the piece first became available at a member, or zero.
	availableAt time.Time
	// excluded are sources that sent the piece corrupt.
	excluded map[string]bool
}

// source is a peer or the origin.
type source struct {
	has          map[int]bool
	openRequests int
}
