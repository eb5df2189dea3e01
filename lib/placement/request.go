package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/versions"
)

// Request describes a request that needs a backend server.
type Request struct {
	Service string
	// Domain is the failure domain of the entry that serves the request. Entry is the
	// name of that entry; empty if it is the entry of the Picker.
	Domain, Entry string
	// Engine describes the service's model engines; nil for plain services.
	Engine *serving.Engine
	// Model is the model that must be loaded; empty for plain services.
	Model string
	// Version is the only version of the model that may run the request. Zero accepts
	// any that is not older than MinVersion.
	Version, MinVersion int
	// VersionDeadlines are the deadlines from which the request must not begin on older
	// weights.
	VersionDeadlines versions.Deadlines
	// PromptTokens is the length of the prompt, OutputTokens the expected length of the
	// output.
	PromptTokens, OutputTokens int
	// LatencyTarget is the maximum time to the first response; if no server is
	// predicted to meet it, the service is overloaded. Zero sets none.
	LatencyTarget time.Duration
	// Remaining is the time from now until the response is no longer needed; zero sets
	// no limit.
	Remaining time.Duration
	// Exclude lists servers that must not get the request.
	Exclude []directory.Key
	// ColdPerSecond is what a cold server of the service tolerates from all entries
	// together, in requests per second; zero means that there is no limit.
	ColdPerSecond float64
	// Homes are the regions whose servers may run the request.
	Homes serving.Homes
	// Evacuated lists failure domains whose servers must not get the request because the
	// entry that serves it knows that they are evacuated.
	Evacuated []string
	// MayHaveRun is set if the request may have begun on another server, so that a
	// refusal could not guarantee that it has not run. It is then not refused for a
	// missed latency target.
	MayHaveRun bool
	// Ranked is set if the configuration declares ranks that differ. The gate of the service
	// then decides which requests are admitted under overload.
	Ranked bool
	// Rank is the urgency of the request, 0 is the highest. Team is its team; empty if it has
	// none.
	Rank int
	Team string
	// Waited is the time for which the request has waited for a placement since it was tried
	// first, MaxWait the time for which it may still wait; zero if it must not.
	Waited, MaxWait time.Duration
}

func (r *Request) excludes(k directory.Key) bool {
	for _, e := range r.Exclude {
		if e == k {
			return true
		}
	}
	return false
}
