package admit

import "time"

// Offer describes one placement of a request to a Gate.
type Offer struct {
	// Rank is the urgency of the request, from 0, the most urgent, to MaxRank. Others are
	// taken for the nearest of these.
	Rank int
	// Team is the team of the request. Requests without a team are not compared with those
	// of teams.
	Team string
	// Predicted is the predicted time to the first response on the best server; zero if that
	// server has room for any request.
	Predicted time.Duration
	// Limit is the longest Predicted that is admitted without overload.
	Limit time.Duration
	// Late is set if the latency target can no longer be met. Late requests are admitted
	// after all others.
	Late bool
	// Waiting is set if the request has been offered before, or recorded by RecordUnavailable,
	// and has waited since.
	Waiting bool
	// MaxWait is how long the request can still wait for its placement; zero if it cannot.
	MaxWait time.Duration
	// Remaining is the time until the response is no longer needed; zero sets no limit.
	Remaining time.Duration
}
