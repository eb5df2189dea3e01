package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// Decision says whether a fingerprint may run on an instance now.
type Decision uint8

const (
	// Run allows it without conditions.
	Run Decision = iota
	// RunAlone allows it, as the only suspect on that backend server. The entry
	// sets RequestStart.Suspect, so that the agent refuses a second one that
	// another entry sends at the same time.
	RunAlone
	// RunElsewhere means that another instance must be picked: this one runs
	// another suspect or has crashed with this one.
	RunElsewhere
	// Hold means that the entry asks again at Verdict.Until.
	Hold
	// Quarantined means that the request is not run before Verdict.Until.
	Quarantined
)

// String returns the name that logs and metrics use.
func (d Decision) String() string {
	names := [...]string{"run", "run_alone", "run_elsewhere", "hold", "quarantined"}
	if int(d) < len(names) {
		return names[d]
	}
	return "invalid"
}

// Verdict is the answer to a question about one fingerprint and one instance.
type Verdict struct {
	Decision Decision
	// Until is set for Hold and Quarantined.
	Until time.Time
	// Update, when not nil, is sent to all peers at once.
	Update *wire.SuspectUpdate
}
