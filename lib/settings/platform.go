package settings

// Platform holds the HTTP base addresses of the platform's services.
type Platform struct {
	TableService string
	ObjectStore  string
	InstanceList string
	Origin       string
	// WeightStore is a second source of weights. It is empty if there is none.
	WeightStore string
}

func (r *reader) platform(entry bool) Platform {
	return Platform{
		TableService: r.httpAddress("platform", "table_service", entry),
		ObjectStore:  r.httpAddress("platform", "object_store", false),
		InstanceList: r.httpAddress("platform", "instance_list", true),
		Origin:       r.httpAddress("platform", "origin", true),
		WeightStore:  r.httpAddress("platform", "weight_store", false),
	}
}
