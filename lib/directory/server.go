// Package directory holds what an instance knows about the backend servers of a
// deployment, from the rows that they register in the store and from other sources.
package directory

import "time"

// Server is one incarnation of a backend server: a process from its start to its
// end.
type Server struct {
	// ID identifies the incarnation together with StartUnixMilli. It may be reused
	// after a restart.
	ID      string
	Service string
	// Address is the IP address and port. Another server may use it later.
	Address string
	// Domain is the failure domain.
	Domain string
	// Draining is set if the server finishes its requests and accepts no more.
	Draining bool
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// StartUnixMilli is when the process started, as Unix time in milliseconds.
	StartUnixMilli int64
	// ColdTime is how long the server was to stay cold when its row was written.
	ColdTime time.Duration
	// Era and Revision are those of the row in the store. Revisions of different eras can't
	// be compared.
	Era, Revision int64
	// Weights are the loaded weights of an engine, by model.
	Weights map[string]Weights
}

// Weights states which version of a model is loaded.
type Weights struct {
	Version int
	// Complete is set if all layers are loaded.
	Complete bool
}

// Key returns the key of the incarnation.
func (s *Server) Key() Key { return Key{ID: s.ID, StartUnixMilli: s.StartUnixMilli} }

// sameRow reports whether two states of a server are from the same write of its row.
func (s *Server) sameRow(other *Server) bool {
	return s.Era == other.Era && s.Revision == other.Revision
}

// Key identifies one incarnation of a server.
type Key struct {
	ID             string
	StartUnixMilli int64
}
