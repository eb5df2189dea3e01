package rollout

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Permit allows one instance to leave its old version. Its holder checks the
// expiry on a monotonic clock before it stops admitting requests.
type Permit struct {
	Number   uint64
	Instance model.InstanceID
	Expires  time.Time
}

// Valid reports whether the permit may still be used.
func (p Permit) Valid(now time.Time) bool { return p.Number != 0 && now.Before(p.Expires) }

// Reason says why no permit was given.
type Reason string

// Reasons for a refusal.
const (
	// ReasonNone accompanies a permit.
	ReasonNone Reason = ""
	// ReasonMinLive means that the declared minimum leaves no instance over.
	ReasonMinLive Reason = "min_live"
	// ReasonLoad means that the current load needs all live instances.
	ReasonLoad Reason = "load"
	// ReasonWave means that instances of the current wave are still loading.
	ReasonWave Reason = "wave"
)
