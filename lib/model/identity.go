// Package model holds the identifiers that all parts of the system share.
package model

// InstanceID names an instance as its settings do.
type InstanceID string

// Generation tells two processes apart that run under one InstanceID. It is
// drawn at random at start; it carries no order.
type Generation uint64

// FailureDomain names a failure domain.
type FailureDomain string

// Region names a region.
type Region string

// RequestID identifies a caller's request across attempts.
type RequestID string

// AttemptID identifies one dispatch of a request to one backend server.
type AttemptID string

// Tenant names a team for limits and metrics.
type Tenant string

// Class names a class of requests, such as interactive or batch.
type Class string

// Service names a declared service.
type Service string

// Location says where an instance stands.
type Location struct {
	Region        Region        `msgpack:"r" json:"region"`
	FailureDomain FailureDomain `msgpack:"d" json:"failure_domain"`
}

// Identity is one process of the system on one instance.
type Identity struct {
	Instance   InstanceID `msgpack:"i" json:"instance"`
	Generation Generation `msgpack:"g" json:"generation"`
	Location   Location   `msgpack:"l" json:"location"`
	// Address is the IP address and port of the process's peer listener.
	Address string `msgpack:"a" json:"address"`
}
