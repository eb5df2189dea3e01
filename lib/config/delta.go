package config

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// Delta is what changes between two configurations. Objects are set whole;
// removed ones are named by key.
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
	// StateDigest is the digest of the configuration that the delta leads to.
	StateDigest model.Digest `msgpack:"z"`
}

// NewDelta returns what leads from one configuration to another.
func NewDelta(from, to *Config) (Delta, error) {
	var d Delta
	if from.Deployment != to.Deployment {
		deployment := to.Deployment
		d.Deployment = &deployment
	}
	d.Models, d.RemoveModels = deltaOf(from.Models, to.Models, modelKey)
	d.Placements, d.RemovePlacements = deltaOf(from.Placements, to.Placements, placementKey)
	d.Services, d.RemoveServices = deltaOf(from.Services, to.Services, serviceKey)
	d.Tenants, d.RemoveTenants = deltaOf(from.Tenants, to.Tenants, tenantKey)
	d.Classes, d.RemoveClasses = deltaOf(from.Classes, to.Classes, classKey)
	state, err := to.Digest()
	d.StateDigest = state
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

// Apply returns the configuration that the delta leads to from another. It
// returns ErrChain if the result is not the one that the delta was made for.
func (d *Delta) Apply(from *Config) (*Config, error) {
	to := &Config{
		Deployment: from.Deployment,
		Models:     merge(from.Models, d.Models, d.RemoveModels, modelKey),
		Placements: merge(from.Placements, d.Placements, d.RemovePlacements, placementKey),
		Services:   merge(from.Services, d.Services, d.RemoveServices, serviceKey),
		Tenants:    merge(from.Tenants, d.Tenants, d.RemoveTenants, tenantKey),
		Classes:    merge(from.Classes, d.Classes, d.RemoveClasses, classKey),
	}
	if d.Deployment != nil {
		to.Deployment = *d.Deployment
	}
	state, err := to.Digest()
	if err != nil {
		return nil, err
	}
	if state != d.StateDigest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("state is %s, the delta leads to %s", state.Short(), d.StateDigest.Short()))
	}
	return to, nil
}

// Encode returns the encoding over which the digest chain is computed.
func (d *Delta) Encode() ([]byte, error) { return encode(d) }

// DecodeDelta reads an encoded delta.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	if err := msgstream.Unmarshal(data, &d); err != nil {
		return Delta{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return d, nil
}

func deltaOf[T comparable](from, to []T, key func(T) string) (set []T, removed []string) {
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

func merge[T any](from, set []T, removed []string, key func(T) string) []T {
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
