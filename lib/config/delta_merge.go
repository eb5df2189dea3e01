package config

import "slices"

// Merge returns one delta that has the same effect as applying d and then next.
// Objects that both deltas change are included once, as next sets them.
func (d Delta) Merge(next Delta) Delta {
	merged := d.withoutObjectsOf(next)
	if next.Deployment != nil {
		merged.Deployment = next.Deployment
	}
	merged.Models = append(merged.Models, next.Models...)
	merged.RemoveModels = append(merged.RemoveModels, next.RemoveModels...)
	merged.Placements = append(merged.Placements, next.Placements...)
	merged.RemovePlacements = append(merged.RemovePlacements, next.RemovePlacements...)
	merged.Services = append(merged.Services, next.Services...)
	merged.RemoveServices = append(merged.RemoveServices, next.RemoveServices...)
	merged.Tenants = append(merged.Tenants, next.Tenants...)
	merged.RemoveTenants = append(merged.RemoveTenants, next.RemoveTenants...)
	merged.Classes = append(merged.Classes, next.Classes...)
	merged.RemoveClasses = append(merged.RemoveClasses, next.RemoveClasses...)
	merged.StateDigest = next.StateDigest
	return merged
}

// withoutObjectsOf returns d without the objects that next sets or removes. The
// result does not describe a complete step, so its StateDigest is zero.
func (d Delta) withoutObjectsOf(next Delta) Delta {
	var rest Delta
	if next.Deployment == nil {
		rest.Deployment = d.Deployment
	}
	rest.Models, rest.RemoveModels = withoutReplaced(d.Models, d.RemoveModels, next.Models, next.RemoveModels, modelKey)
	rest.Placements, rest.RemovePlacements = withoutReplaced(d.Placements, d.RemovePlacements, next.Placements, next.RemovePlacements, placementKey)
	rest.Services, rest.RemoveServices = withoutReplaced(d.Services, d.RemoveServices, next.Services, next.RemoveServices, serviceKey)
	rest.Tenants, rest.RemoveTenants = withoutReplaced(d.Tenants, d.RemoveTenants, next.Tenants, next.RemoveTenants, tenantKey)
	rest.Classes, rest.RemoveClasses = withoutReplaced(d.Classes, d.RemoveClasses, next.Classes, next.RemoveClasses, classKey)
	return rest
}

// withoutReplaced returns set and removed without the objects that nextSet or
// nextRemoved contain.
func withoutReplaced[T any](set []T, removed []string, nextSet []T, nextRemoved []string, key func(T) string) (keptSet []T, keptRemoved []string) {
	replaced := make(map[string]bool, len(nextSet)+len(nextRemoved))
	for _, v := range nextSet {
		replaced[key(v)] = true
	}
	for _, k := range nextRemoved {
		replaced[k] = true
	}
	keptSet = slices.DeleteFunc(slices.Clone(set), func(v T) bool { return replaced[key(v)] })
	keptRemoved = slices.DeleteFunc(slices.Clone(removed), func(k string) bool { return replaced[k] })
	return keptSet, keptRemoved
}
