package settings

import "github.com/auburnbend/auburnbend/lib/model"

// Instance identifies the instance that a process runs on.
type Instance struct {
	ID            model.InstanceID
	Region        model.Region
	FailureDomain model.FailureDomain
}

// Location returns the region and failure domain of the instance.
func (i Instance) Location() model.Location {
	return model.Location{Region: i.Region, FailureDomain: i.FailureDomain}
}

func (r *reader) instance() Instance {
	return Instance{
		ID:            model.InstanceID(r.label("instance", "id")),
		Region:        model.Region(r.label("instance", "region")),
		FailureDomain: model.FailureDomain(r.label("instance", "failure_domain")),
	}
}
