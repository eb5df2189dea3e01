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

	state   *server
	prompt  int
	started time.Time
	// answering tells that the first answer has arrived.
	answering bool
	done      bool
}
