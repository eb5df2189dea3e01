package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Suspect counts the backend servers that died with a request in flight.
type Suspect struct {
	Fingerprint    model.Fingerprint  `msgpack:"f"`
	CrashedServers []model.InstanceID `msgpack:"c"`
	// Incidents are the same crashes one by one, so that updates merge in any
	// order and a success clears exactly the crashes before it.
	Incidents []Incident `msgpack:"i"`
	// Runs say which entries run the request or are about to.
	Runs []SuspectRun `msgpack:"r"`
}

// SuspectUpdate passes crash attribution between entries.
type SuspectUpdate struct {
	Suspects []Suspect           `msgpack:"s"`
	Cleared  []model.Fingerprint `msgpack:"c"`
}

// Type returns TypeSuspectUpdate.
func (*SuspectUpdate) Type() Type { return TypeSuspectUpdate }
