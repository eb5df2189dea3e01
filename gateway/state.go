package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
)

// State is what an entry believes of the deployment.
type State struct {
	// ConfigVersion is the version of the configuration, zero for none, ConfigAge
	// the time since it came into force here.
	ConfigVersion int64
	ConfigAge     time.Duration
	// Servers counts the backend servers by service and condition.
	Servers map[ServerGroup]int
	// Engines counts the engines by model and the version that they serve.
	Engines map[ModelVersion]int
	// RetriesLeft is the part of the retry budget that is left to this entry, by
	// service.
	RetriesLeft map[string]float64
	// OpenRequests is the number of requests that are being served.
	OpenRequests int
	// Quarantined is the number of contents that are refused because backend servers
	// ended while they ran them.
	Quarantined int
	// GrantedLeases is the number of requests of other entries that were placed here and
	// are being served.
	GrantedLeases int
}

// ServerGroup is a service and a condition.
type ServerGroup struct {
	Service   string
	Condition placement.Condition
}

// ModelVersion is a version of a model.
type ModelVersion struct {
	Model   string
	Version int
}

// State returns what the entry believes now.
func (g *Gateway) State() State {
	s := State{
		Servers: make(map[ServerGroup]int), Engines: make(map[ModelVersion]int), RetriesLeft: make(map[string]float64),
		OpenRequests: g.OpenRequests(),
	}
	table := g.table.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	s.GrantedLeases = g.granted.Len()
	s.Quarantined = len(g.suspects.logged)
	if table != nil {
		config := table.Config()
		s.ConfigVersion, s.ConfigAge = config.Version, now.Sub(g.configAt)
		for i := range config.Services {
			name := config.Services[i].Name
			s.RetriesLeft[name] = g.budget.Remaining(name, now)
		}
	}
	g.directory.ForEach(func(server *directory.Server) {
		s.Servers[ServerGroup{server.Service, g.picker.Condition(server, now)}]++
		for model, w := range server.Weights {
			s.Engines[ModelVersion{model, w.Version}]++
		}
	})
	return s
}
