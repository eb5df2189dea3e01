package admit

import "time"

// Decision is what happens to an offered request.
type Decision uint8

const (
	// Admit means that the request is sent to the server.
	Admit Decision = iota
	// Wait means that the request may wait and be offered again.
	Wait
	// Refuse means that the request is refused now.
	Refuse
)

// Verdict is the result of Gate.Decide.
type Verdict struct {
	Decision Decision
	// RetryAfter is the time after which capacity is expected; zero if the request is
	// admitted.
	RetryAfter time.Duration
	// Overload tells whether an overload has begun or ended with this decision.
	Overload Overload
}
