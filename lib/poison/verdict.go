package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// Decision states whether a fingerprint may run on an instance now.
type Decision uint8

const (
	// Run allows the run without conditions.
	Run Decision = iota
	// RunAlone allows the run as the only suspect on the backend server. The entry must
	// set RequestStart.Suspect, so that the agent refuses a second suspect that another
	// entry sends at the same time.
	RunAlone
	// RunElsewhere means that the entry must pick another instance: this one runs
	// another suspect or has crashed with this one.
	RunElsewhere
	// Hold means that the entry must ask again at Verdict.Until.
	Hold
	// Quarantined means that the request must not run before Verdict.Until.
	Quarantined
)

// String returns the name for logs and metrics.
func (d Decision) String() string {
	names := [...]string{"run", "run_alone", "run_elsewhere", "hold", "quarantined"}
	if int(d) < len(names) {
		return names[d]
	}
	return "invalid"
}

// Verdict is the result of Monitor.Verdict for one fingerprint and one instance.
type Verdict struct {
	Decision Decision
	// Until is set for Hold and Quarantined.
	Until time.Time
	// Update must be sent to all peers at once, if not nil.
	Update *wire.SuspectUpdate
}
