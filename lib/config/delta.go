package config

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// Delta is the difference between two configurations. Added and changed objects
// are included as a whole; removed objects are listed by key.
type Delta struct {
	Deployment       *Deployment `msgpack:"d"`
	Models           []Model     `msgpack:"m"`
	RemoveModels     []string    `msgpack:"rm"`
	Placements       []Placement `msgpack:"p"`
	RemovePlacements []string    `msgpack:"rp"`
	Services         []Service   `msgpack:"s"`
	RemoveServices   []string    `msgpack:"rs"`
	Tenants          []Tenant    `msgpack:"t"`
	RemoveTenants    []string    `msgpack:"rt"`
	Classes          []Class     `msgpack:"c"`
	RemoveClasses    []string    `msgpack:"rc"`
	// StateDigest is the digest of the configuration that results from applying
	// the delta.
	StateDigest model.Digest `msgpack:"z"`
}

// NewDelta returns the delta that turns one configuration into another.
func NewDelta(from, to *Config) (Delta, error) {
	var d Delta
	if from.Deployment != to.Deployment {
		deployment := to.Deployment
		d.Deployment = &deployment
	}
	d.Models, d.RemoveModels = diffObjects(from.Models, to.Models, modelKey)
	d.Placements, d.RemovePlacements = diffObjects(from.Placements, to.Placements, placementKey)
	d.Services, d.RemoveServices = diffObjects(from.Services, to.Services, serviceKey)
	d.Tenants, d.RemoveTenants = diffObjects(from.Tenants, to.Tenants, tenantKey)
	d.Classes, d.RemoveClasses = diffObjects(from.Classes, to.Classes, classKey)
	digest, err := to.Digest()
	d.StateDigest = digest
	return d, err
}

// Empty reports whether the delta changes nothing.
func (d *Delta) Empty() bool {
	return d.Deployment == nil &&
		len(d.Models)+len(d.RemoveModels) == 0 &&
		len(d.Placements)+len(d.RemovePlacements) == 0 &&
		len(d.Services)+len(d.RemoveServices) == 0 &&
		len(d.Tenants)+len(d.RemoveTenants) == 0 &&
		len(d.Classes)+len(d.RemoveClasses) == 0
}

// Apply returns the configuration that results from applying the delta to from.
// It returns ErrChainBroken if the digest of the result is not StateDigest.
func (d *Delta) Apply(from *Config) (*Config, error) {
	to := &Config{
		Deployment: from.Deployment,
		Models:     mergeObjects(from.Models, d.Models, d.RemoveModels, modelKey),
		Placements: mergeObjects(from.Placements, d.Placements, d.RemovePlacements, placementKey),
		Services:   mergeObjects(from.Services, d.Services, d.RemoveServices, serviceKey),
		Tenants:    mergeObjects(from.Tenants, d.Tenants, d.RemoveTenants, tenantKey),
		Classes:    mergeObjects(from.Classes, d.Classes, d.RemoveClasses, classKey),
	}
	if d.Deployment != nil {
		to.Deployment = *d.Deployment
	}
	digest, err := to.Digest()
	if err != nil {
		return nil, err
	}
	if digest != d.StateDigest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("digest of the resulting configuration is %s, expected %s", digest.Short(), d.StateDigest.Short()))
	}
	return to, nil
}

// Encode returns the msgpack encoding of the delta.
func (d *Delta) Encode() ([]byte, error) { return encode(d) }

// DecodeDelta decodes a delta. It returns ErrMalformed for invalid data.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	if err := msgstream.Unmarshal(data, &d); err != nil {
		return Delta{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return d, nil
}

// diffObjects returns the objects of to that are new or changed, and the keys of
// the objects that only from contains. Both are sorted by key.
func diffObjects[T comparable](from, to []T, key func(T) string) (set []T, removed []string) {
	before := make(map[string]T, len(from))
	for _, v := range from {
		before[key(v)] = v
	}
	for _, v := range to {
		if old, ok := before[key(v)]; !ok || old != v {
			set = append(set, v)
		}
		delete(before, key(v))
	}
	for k := range before {
		removed = append(removed, k)
	}
	slices.Sort(removed)
	return sortedBy(set, key), removed
}

// mergeObjects returns from with the objects in set added or replaced and the
// removed ones left out, sorted by key.
func mergeObjects[T any](from, set []T, removed []string, key func(T) string) []T {
	replaced := make(map[string]bool, len(set)+len(removed))
	for _, v := range set {
		replaced[key(v)] = true
	}
	for _, k := range removed {
		replaced[k] = true
	}
	merged := make([]T, 0, len(from)+len(set))
	for _, v := range from {
		if !replaced[key(v)] {
			merged = append(merged, v)
		}
	}
	return sortedBy(append(merged, set...), key)
}
