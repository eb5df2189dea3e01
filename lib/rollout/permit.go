package rollout

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Permit allows one instance to stop serving its current version. The holder
// must check the expiry on a monotonic clock before it stops admitting
// requests.
type Permit struct {
	Number   uint64
	Instance model.InstanceID
	Expires  time.Time
}

// Valid reports whether the permit may still be used. The zero Permit is not
// valid.
func (p Permit) Valid(now time.Time) bool { return p.Number != 0 && now.Before(p.Expires) }

// Reason is the reason why a permit was refused.
type Reason string

// Reasons for refusing a permit.
const (
	// ReasonNone means that a permit was granted.
	ReasonNone Reason = ""
	// ReasonMinLive means that stopping an instance would violate the declared
	// minimum.
	ReasonMinLive Reason = "min_live"
	// ReasonLoad means that the current load needs all live instances.
	ReasonLoad Reason = "load"
	// ReasonWave means that instances of the current wave are still loading.
	ReasonWave Reason = "wave"
)
