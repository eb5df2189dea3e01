package config

import "github.com/auburnbend/auburnbend/lib/model"

// FindService returns the service with the given name.
func (c *Config) FindService(name model.Service) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// FindTenant returns the tenant with the given name.
func (c *Config) FindTenant(name model.Tenant) (Tenant, bool) {
	for _, t := range c.Tenants {
		if t.Name == name {
			return t, true
		}
	}
	return Tenant{}, false
}

// FindModel returns the declaration of a model or adapter version.
func (c *Config) FindModel(name, version string) (Model, bool) {
	for _, m := range c.Models {
		if m.Name == name && m.Version == version {
			return m, true
		}
	}
	return Model{}, false
}

// FindClass returns the request class with the given name.
func (c *Config) FindClass(name model.Class) (Class, bool) {
	for _, cl := range c.Classes {
		if cl.Name == name {
			return cl, true
		}
	}
	return Class{}, false
}

// FindPlacement returns the placement of a pool in a failure domain.
func (c *Config) FindPlacement(pool string, domain model.FailureDomain) (Placement, bool) {
	for _, p := range c.Placements {
		if p.Pool == pool && p.FailureDomain == domain {
			return p, true
		}
	}
	return Placement{}, false
}

// Weights returns the weights that an instance must have loaded to serve a
// version: the base model only, or the base model and the adapter.
func (c *Config) Weights(name, version string) (model.Weights, bool) {
	m, ok := c.FindModel(name, version)
	if !ok {
		return model.Weights{}, false
	}
	if m.Base == "" {
		return model.Weights{Base: m.Manifest}, true
	}
	base, ok := c.FindModel(m.Base, m.BaseVersion)
	if !ok {
		return model.Weights{}, false
	}
	return model.Weights{Base: base.Manifest, Adapter: m.Manifest}, true
}
