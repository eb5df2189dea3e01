package config

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
)

// CandidateWeights returns the weights that may serve a model service, in order of
// preference. A service that names a version has one. Otherwise the versions
// that are placed in the service's pool come first, then the other declared
// versions of the model, the last declared first.
func (c *Config) CandidateWeights(s Service) []model.Weights {
	if s.Version != "" {
		if w, ok := c.Weights(s.Model, s.Version); ok {
			return []model.Weights{w}
		}
		return nil
	}
	var routes []model.Weights
	add := func(name, version string) {
		if w, ok := c.Weights(name, version); ok && !slices.Contains(routes, w) {
			routes = append(routes, w)
		}
	}
	for _, p := range c.Placements {
		if p.Pool == s.Pool && p.Model == s.Model {
			add(p.Model, p.Version)
		}
	}
	for _, m := range slices.Backward(c.Models) {
		if m.Name == s.Model {
			add(m.Name, m.Version)
		}
	}
	return routes
}
