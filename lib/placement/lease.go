package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Lease is a request's place on a server. It ends with Picker.Done.
type Lease struct {
	Server *directory.Server
	// Predicted is the expected time to the first answer.
	Predicted time.Duration
	// Occupancy is the estimated number of requests there before this one, and
	// LoadAge the age of the report that it rests on; negative if there is none.
	Occupancy int
	LoadAge   time.Duration

	// Usage is what this entry has at the server with this request.
	Usage Usage

	state *server
	// holder is the entry that has the request; empty for this one.
	holder  string
	prompt  int
	started time.Time
	// answering tells that the first answer has arrived.
	answering bool
	done      bool
}

// Usage is what one entry has at one server.
type Usage struct {
	// Running counts its requests, Reading those without a first answer, and
	// ReadingTokens their prompt tokens.
	Running, Prefilling, PrefillTokens int
}
