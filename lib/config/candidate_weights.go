package config

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
)

// CandidateWeights returns the weights that may serve a model service, in order of
// preference. If the service specifies a version, that is the only candidate.
// Otherwise the versions placed in the pool of the service come first, followed by
// the other declared versions of the model, last declared first.
func (c *Config) CandidateWeights(s Service) []model.Weights {
	if s.Version != "" {
		if w, ok := c.Weights(s.Model, s.Version); ok {
			return []model.Weights{w}
		}
		return nil
	}
	var candidates []model.Weights
	add := func(name, version string) {
		if w, ok := c.Weights(name, version); ok && !slices.Contains(candidates, w) {
			candidates = append(candidates, w)
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
	return candidates
}
