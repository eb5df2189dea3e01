package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// RolloutReport replies to a RolloutFetch with the instances that the entry's trackers
// know.
type RolloutReport struct {
	Instances []InstanceStatus `msgpack:"i"`
}

// InstanceStatus is the status of one instance in a RolloutReport.
type InstanceStatus struct {
	Instance model.InstanceID    `msgpack:"i"`
	Domain   model.FailureDomain `msgpack:"d"`
	Status   TransferStatus      `msgpack:"s"`
}

// Type returns TypeRolloutReport.
func (*RolloutReport) Type() Type { return TypeRolloutReport }
