package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// CrashReport lists what was in flight when a backend server died.
type CrashReport struct {
	// Incarnation numbers the starts of the backend server that the agent saw.
	Incarnation uint64              `msgpack:"n"`
	InFlight    []model.Fingerprint `msgpack:"f"`
}

// Type returns TypeCrashReport.
func (*CrashReport) Type() Type { return TypeCrashReport }
