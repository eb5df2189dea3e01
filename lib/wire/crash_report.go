package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// CrashReport lists the requests that were in flight when a backend server crashed.
type CrashReport struct {
	// Incarnation identifies the run of the backend server that ended in the crash.
	Incarnation uint64              `msgpack:"n"`
	InFlight    []model.Fingerprint `msgpack:"f"`
}

// Type returns TypeCrashReport.
func (*CrashReport) Type() Type { return TypeCrashReport }
