package settings

// Platform holds the base addresses of the platform's services.
type Platform struct {
	TableService string
	ObjectStore  string
	InstanceList string
	Origin       string
	// WeightStore is a second source of weights; empty means that there is none.
	WeightStore string
}

func (r *reader) platform(entry bool) Platform {
	return Platform{
		TableService: r.address("platform", "table_service", entry),
		ObjectStore:  r.address("platform", "object_store", false),
		InstanceList: r.address("platform", "instance_list", true),
		Origin:       r.address("platform", "origin", true),
		WeightStore:  r.address("platform", "weight_store", false),
	}
}
