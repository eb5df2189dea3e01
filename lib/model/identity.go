// Package model defines identifiers that are used throughout the system.
package model

// InstanceID is the ID of an instance from its settings.
type InstanceID string

// Generation distinguishes successive processes with the same InstanceID. It is a random
// number drawn at start, so generations are not ordered.
type Generation uint64

// FailureDomain is the name of a failure domain.
type FailureDomain string

// Region is the name of a region.
type Region string

// RequestID identifies a request of a caller across all attempts.
type RequestID string

// AttemptID identifies one dispatch of a request to one backend server.
type AttemptID string

// Tenant is the name of a team, used for limits and metrics.
type Tenant string

// Class is the name of a request class, such as interactive or batch.
type Class string

// Service is the name of a declared service.
type Service string

// Location is the location of an instance.
type Location struct {
	Region        Region        `msgpack:"r" json:"region"`
	FailureDomain FailureDomain `msgpack:"d" json:"failure_domain"`
}

// Identity identifies one process of the system on one instance.
type Identity struct {
	Instance   InstanceID `msgpack:"i" json:"instance"`
	Generation Generation `msgpack:"g" json:"generation"`
	Location   Location   `msgpack:"l" json:"location"`
	// Address is the IP address and port of the process's peer listener.
	Address string `msgpack:"a" json:"address"`
}
