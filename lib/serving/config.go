// Package serving defines the live configuration of a deployment: which route a
// request matches, which services may run it, and which team an API key belongs to.
// Values are immutable once they are in force and may be shared between goroutines.
package serving

// Config is one accepted version of the live configuration.
type Config struct {
	// Version increases with each accepted configuration.
	Version int64
	// Revision is the position of the configuration in the store's history.
	Revision int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// ServiceNames returns the names of the declared services.
func (c *Config) ServiceNames() []string {
	names := make([]string, 0, len(c.Services))
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
	}
	return names
}
