// Package config implements the live configuration that operators declare: which
// version of each model and adapter runs in which failure domain, which services
// route requests to them, and the limits of tenants. It validates, versions,
// stores and replicates that configuration. Process settings are in
// lib/settings.
package config

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config is a complete configuration. It is immutable once accepted: readers
// share it without locking, and every change creates a new Config.
type Config struct {
	Deployment Deployment  `msgpack:"deployment" json:"deployment"`
	Models     []Model     `msgpack:"models" json:"models"`
	Placements []Placement `msgpack:"placements" json:"placements"`
	Services   []Service   `msgpack:"services" json:"services"`
	Tenants    []Tenant    `msgpack:"tenants" json:"tenants"`
	Classes    []Class     `msgpack:"classes" json:"classes"`
}

// Deployment holds the settings that apply to all failure domains.
type Deployment struct {
	// TimeWeight is the trade-off made when weights are distributed, from 0
	// (minimize bytes read from the origin) to 1 (minimize time).
	TimeWeight float64 `msgpack:"time_weight" json:"time_weight"`
	// OriginCopies is the maximum number of copies of a version that are read
	// from the origin, 1 to 64.
	OriginCopies int `msgpack:"origin_copies" json:"origin_copies"`
	// TransferShare is the maximum share of an instance's link bandwidth that
	// weight transfers may use, greater than 0 and at most 1.
	TransferShare float64 `msgpack:"transfer_share" json:"transfer_share"`
	// ClaimRetention is how long results of non-repeatable requests are kept.
	ClaimRetention time.Duration `msgpack:"claim_retention" json:"claim_retention"`
}

// Model declares one version of a model or adapter.
type Model struct {
	Name    string `msgpack:"name" json:"name"`
	Version string `msgpack:"version" json:"version"`
	// Manifest is the digest of the manifest of this version.
	Manifest model.Digest `msgpack:"manifest" json:"manifest"`
	// ManifestObject is the object name of the encoded manifest at the origin.
	ManifestObject string `msgpack:"manifest_object" json:"manifest_object"`
	// Base is the name of the model that an adapter extends. It is empty for a
	// base model.
	Base string `msgpack:"base" json:"base"`
	// BaseVersion is the version of Base that the adapter extends.
	BaseVersion string `msgpack:"base_version" json:"base_version"`
	// Bytes is the total size of all chunks.
	Bytes int64 `msgpack:"bytes" json:"bytes"`
}

// Placement declares that instances of a pool in one failure domain serve a
// model version.
type Placement struct {
	Model         string              `msgpack:"model" json:"model"`
	Version       string              `msgpack:"version" json:"version"`
	FailureDomain model.FailureDomain `msgpack:"failure_domain" json:"failure_domain"`
	// Pool is the group of instances, as named in the settings of their agents.
	Pool string `msgpack:"pool" json:"pool"`
	// Replicas is the number of instances that serve the version; 0 means all
	// instances of the pool.
	Replicas int `msgpack:"replicas" json:"replicas"`
	// MinLive is the minimum number of instances that keep serving during a
	// rollout.
	MinLive int `msgpack:"min_live" json:"min_live"`
	// Role is the role of the model engines. Requests are routed to engines with
	// the mixed role only. The mixed role is omitted from the encoding, so that
	// revisions written before the field existed keep their digests.
	Role model.Role `msgpack:"role,omitempty" json:"role,omitempty"`
}

// ServiceKind distinguishes model services from plain services.
type ServiceKind string

const (
	// KindModel marks a service that runs on model engines.
	KindModel ServiceKind = "model"
	// KindPlain marks a service whose backend servers are plain services.
	KindPlain ServiceKind = "plain"
)

// Service declares a service that callers can send requests to.
type Service struct {
	Name model.Service `msgpack:"name" json:"name"`
	Kind ServiceKind   `msgpack:"kind" json:"kind"`
	// Model and Version select the weights of a model service. If Version is
	// empty, any declared version of the model may serve, with placed versions
	// preferred, so that the service stays available during a rollout.
	Model   string `msgpack:"model" json:"model"`
	Version string `msgpack:"version" json:"version"`
	// Pool is the group of instances that run the service.
	Pool string `msgpack:"pool" json:"pool"`
	// Repeatable reports whether a request may be executed more than once.
	Repeatable bool `msgpack:"repeatable" json:"repeatable"`
	// Timeout applies to requests that specify no deadline.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `msgpack:"max_body_bytes" json:"max_body_bytes"`
}

// Tenant declares the limits of one team.
type Tenant struct {
	Name model.Tenant `msgpack:"name" json:"name"`
	// Share is the weight of the tenant in fair queueing, at least 1.
	Share int `msgpack:"share" json:"share"`
	// MaxQueued is the maximum number of requests queued at one entry.
	MaxQueued int `msgpack:"max_queued" json:"max_queued"`
	// RetryShare is the retry budget as a share of successful requests, 0 to 1.
	RetryShare float64 `msgpack:"retry_share" json:"retry_share"`
}

// Class declares a request class.
type Class struct {
	Name model.Class `msgpack:"name" json:"name"`
	// Priority orders classes; higher values are served first.
	Priority int `msgpack:"priority" json:"priority"`
	// FirstToken is the target for the time to the first token.
	FirstToken time.Duration `msgpack:"first_token" json:"first_token"`
}
