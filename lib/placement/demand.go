package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/serving"
)

// Request is a request that needs a backend server.
type Request struct {
	Service string
	// Domain is the failure domain of the entry that has the request, Holder its
	// name; empty for the entry that places it.
	Domain, Entry string
	// Engine describes the service's model engines; nil for plain services.
	Engine *serving.Engine
	// Model is the model that must be loaded; empty for plain services.
	Model string
	// Version is the only version of the model that may run the request; zero
	// accepts any that is not older than MinVersion.
	Version, MinVersion int
	// NextVersion is declared, and from NextAt on no request may begin on an older
	// one; zero means that none is due.
	NextVersion   int
	NextVersionAt time.Time
	// PromptTokens and AnswerTokens are the expected work of an engine.
	PromptTokens, OutputTokens int
	// LatencyTarget is the time until the first answer beyond which a service counts as
	// overloaded; zero sets none.
	LatencyTarget time.Duration
	// Remaining is the time until nobody waits any more, counted from now.
	Remaining time.Duration
	// Exclude are servers that have had this request.
	Exclude []directory.Key
	// MayHaveRun tells that the request has begun elsewhere, so that a refusal
	// could not promise that it was not run. It is not refused for a missed target.
	MayHaveRun bool
}

func (d *Request) excludes(k directory.Key) bool {
	for _, e := range d.Exclude {
		if e == k {
			return true
		}
	}
	return false
}
