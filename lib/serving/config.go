// Package serving defines the live configuration of a deployment: which route a
// request matches, which services may run it, and which team an API key belongs to.
// Values are immutable once they are in force and may be shared between goroutines.
package serving

import "reflect"

// Config is one accepted version of the live configuration.
type Config struct {
	// Version increases with each accepted configuration.
	Version int64
	// Era and Revision are the position of the configuration in the store's history.
	Era, Revision int64
	Routes        []Route
	Services      []Service
	// Teams is nil if the configuration has no list of teams. A list without teams, or without
	// keys, makes every key invalid.
	Teams  []Team
	Limits Limits
}

// RequiresKeys reports whether requests of routes that are not public need the key of a team.
func (c *Config) RequiresKeys() bool { return c.Teams != nil }

// Replaces reports whether c replaces the configuration that is in force: it has a higher
// version, or the same one with other contents from a later era of the store, which has
// lost the one in force.
func (c *Config) Replaces(current *Config) bool {
	if c.Version != current.Version || c.Era <= current.Era {
		return c.Version > current.Version
	}
	same := *c
	same.Era, same.Revision = current.Era, current.Revision
	return !reflect.DeepEqual(&same, current)
}

// ServiceNames returns the names of the declared services.
func (c *Config) ServiceNames() []string {
	names := make([]string, 0, len(c.Services))
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
	}
	return names
}
