package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// RolloutReport lists the instances that a tracker knows.
type RolloutReport struct {
	Instances []InstanceStatus `msgpack:"i"`
}

// InstanceStatus is one instance in a RolloutReport.
type InstanceStatus struct {
	Instance model.InstanceID    `msgpack:"i"`
	Domain   model.FailureDomain `msgpack:"d"`
	Status   TransferStatus      `msgpack:"s"`
}

// Type returns TypeRolloutReport.
func (*RolloutReport) Type() Type { return TypeRolloutReport }
