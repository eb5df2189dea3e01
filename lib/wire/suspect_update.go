package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Suspect is a request that was in flight when backend servers crashed.
type Suspect struct {
	Fingerprint    model.Fingerprint  `msgpack:"f"`
	CrashedServers []model.InstanceID `msgpack:"c"`
	// Incidents lists the same crashes individually, so that updates can be merged in
	// any order and a success clears exactly the crashes before it.
	Incidents []Incident `msgpack:"i"`
	// Runs lists the entries that are running the request or plan to.
	Runs []SuspectRun `msgpack:"r"`
}

// SuspectUpdate exchanges suspects between entries.
type SuspectUpdate struct {
	Suspects []Suspect           `msgpack:"s"`
	Cleared  []model.Fingerprint `msgpack:"c"`
}

// Type returns TypeSuspectUpdate.
func (*SuspectUpdate) Type() Type { return TypeSuspectUpdate }
