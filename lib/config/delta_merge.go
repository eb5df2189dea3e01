package config

import "slices"

// Merge returns one delta that has the effect of two applied in sequence. Values
// that both set are contained once.
func (d Delta) Merge(next Delta) Delta {
	merged := d.without(next)
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

// without returns a copy that lacks the objects that next sets or removes. It
// leads to no state of its own; State stays empty.
func (d Delta) without(next Delta) Delta {
	var rest Delta
	if next.Deployment == nil {
		rest.Deployment = d.Deployment
	}
	rest.Models, rest.RemoveModels = less(d.Models, d.RemoveModels, next.Models, next.RemoveModels, modelKey)
	rest.Placements, rest.RemovePlacements = less(d.Placements, d.RemovePlacements, next.Placements, next.RemovePlacements, placementKey)
	rest.Services, rest.RemoveServices = less(d.Services, d.RemoveServices, next.Services, next.RemoveServices, serviceKey)
	rest.Tenants, rest.RemoveTenants = less(d.Tenants, d.RemoveTenants, next.Tenants, next.RemoveTenants, tenantKey)
	rest.Classes, rest.RemoveClasses = less(d.Classes, d.RemoveClasses, next.Classes, next.RemoveClasses, classKey)
	return rest
}

func less[T any](set []T, removed []string, nextSet []T, nextRemoved []string, key func(T) string) (keptSet []T, keptRemoved []string) {
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
