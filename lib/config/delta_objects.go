package config

// ChangedObjects returns the names of the declaration sections that the delta
// changes. Names of removed sections are prefixed with a minus sign.
func (d *Delta) ChangedObjects() []string {
	var names []string
	if d.Deployment != nil {
		names = append(names, "deployment")
	}
	names = appendObjects(names, "model", d.Models, d.RemoveModels, modelKey)
	names = appendObjects(names, "placement", d.Placements, d.RemovePlacements, placementKey)
	names = appendObjects(names, "service", d.Services, d.RemoveServices, serviceKey)
	names = appendObjects(names, "tenant", d.Tenants, d.RemoveTenants, tenantKey)
	return appendObjects(names, "class", d.Classes, d.RemoveClasses, classKey)
}

func appendObjects[T any](names []string, kind string, set []T, removed []string, key func(T) string) []string {
	for _, v := range set {
		names = append(names, kind+" "+key(v))
	}
	for _, k := range removed {
		names = append(names, "-"+kind+" "+k)
	}
	return names
}
