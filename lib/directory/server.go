// Package directory holds what an instance believes about the backend servers
// of a deployment, from the rows that they register and how old these are.
package directory

// Server is one start of a backend server.
type Server struct {
	// ID names this start; it may come back after a restart with another Born.
	ID      string
	Service string
	// Address is an IP address and port. It may later belong to another server.
	Address string
	// Domain is the failure domain.
	Domain string
	// Draining servers finish their work and take no more.
	Draining bool
	// Slots is the number of requests that run at the same time.
	Slots int
	// StartUnixMilli is the Unix time of its start in milliseconds.
	StartUnixMilli int64
	// Revision is the store's version of its row.
	Revision int64
	// Weights are the loaded weights of an engine by model.
	Weights map[string]Weights
}

// Weights tells which version of a model is loaded, and how much of it.
type Weights struct {
	Version int
	// Complete tells that all layers are loaded.
	Complete bool
}

// Key identifies one start of a server.
func (s *Server) Key() Key { return Key{ID: s.ID, StartUnixMilli: s.StartUnixMilli} }

// Key identifies one start of a server.
type Key struct {
	ID             string
	StartUnixMilli int64
}
