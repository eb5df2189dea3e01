// Package config holds the live configuration that operators declare: which
// model, adapter and version should be live where, which services send requests
// to them, and the limits of tenants. Process settings are in lib/settings.
package config

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config is one whole configuration. It is immutable once accepted: readers
// share it without locks and changes make a new one.
type Config struct {
	Deployment Deployment  `msgpack:"deployment" json:"deployment"`
	Models     []Model     `msgpack:"models" json:"models"`
	Placements []Placement `msgpack:"placements" json:"placements"`
	Services   []Service   `msgpack:"services" json:"services"`
	Tenants    []Tenant    `msgpack:"tenants" json:"tenants"`
	Classes    []Class     `msgpack:"classes" json:"classes"`
}

// Deployment holds what applies to all failure domains.
type Deployment struct {
	// TimeWeight is between 0 (save origin bytes) and 1 (save time).
	TimeWeight float64 `msgpack:"time_weight" json:"time_weight"`
	// OriginCopies is the budget of copies taken from the origin per version,
	// 1 to 64.
	OriginCopies int `msgpack:"origin_copies" json:"origin_copies"`
	// TransferShare is the largest share of a machine's link that transfers
	// use, over 0 and up to 1.
	TransferShare float64 `msgpack:"transfer_share" json:"transfer_share"`
	// ClaimRetention is how long results of non-repeatable requests are kept.
	ClaimRetention time.Duration `msgpack:"claim_retention" json:"claim_retention"`
}

// Model declares one version of a model or adapter.
type Model struct {
	Name    string `msgpack:"name" json:"name"`
	Version string `msgpack:"version" json:"version"`
	// Manifest is the digest of the version's manifest.
	Manifest model.Digest `msgpack:"manifest" json:"manifest"`
	// ManifestObject names the encoded manifest at the origin.
	ManifestObject string `msgpack:"manifest_object" json:"manifest_object"`
	// Base names the model that an adapter extends; it is empty for a base.
	Base string `msgpack:"base" json:"base"`
	// BaseVersion is the version of Base.
	BaseVersion string `msgpack:"base_version" json:"base_version"`
	// Bytes is the total size of the chunks.
	Bytes int64 `msgpack:"bytes" json:"bytes"`
}

// Placement asks for instances of one failure domain to serve a model.
type Placement struct {
	Model         string              `msgpack:"model" json:"model"`
	Version       string              `msgpack:"version" json:"version"`
	FailureDomain model.FailureDomain `msgpack:"failure_domain" json:"failure_domain"`
	// Pool names the group of instances, as the agents' settings do.
	Pool string `msgpack:"pool" json:"pool"`
	// Replicas is the number of instances; 0 means all of the pool.
	Replicas int `msgpack:"replicas" json:"replicas"`
	// MinLive is the number of instances that keep serving during a rollout.
	MinLive int `msgpack:"min_live" json:"min_live"`
	// Role is the role of the instances' engines. Requests go to mixed ones only.
	// A mixed role is not encoded: earlier revisions keep their digests.
	Role model.Role `msgpack:"role,omitempty" json:"role,omitempty"`
}

// ServiceKind tells model services from plain services.
type ServiceKind string

const (
	// KindModel is served by model engines.
	KindModel ServiceKind = "model"
	// KindPlain is served by plain services.
	KindPlain ServiceKind = "plain"
)

// Service declares what callers may ask for.
type Service struct {
	Name model.Service `msgpack:"name" json:"name"`
	Kind ServiceKind   `msgpack:"kind" json:"kind"`
	// Model and Version name the weights of a model service. Without a version
	// any declared version of the model serves, the placed one first, so that
	// requests keep being answered while a rollout is under way.
	Model   string `msgpack:"model" json:"model"`
	Version string `msgpack:"version" json:"version"`
	// Pool names the instances that run the service.
	Pool string `msgpack:"pool" json:"pool"`
	// Repeatable says that a request may run more than once.
	Repeatable bool `msgpack:"repeatable" json:"repeatable"`
	// Timeout is the deadline of requests that name none.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `msgpack:"max_body_bytes" json:"max_body_bytes"`
}

// Tenant declares a team's share.
type Tenant struct {
	Name model.Tenant `msgpack:"name" json:"name"`
	// Share is the tenant's weight in fair queues, at least 1.
	Share int `msgpack:"share" json:"share"`
	// MaxQueued bounds the requests that wait at one entry.
	MaxQueued int `msgpack:"max_queued" json:"max_queued"`
	// RetryShare is the share of successful requests that may be retried, 0 to 1.
	RetryShare float64 `msgpack:"retry_share" json:"retry_share"`
}

// Class declares a class of requests.
type Class struct {
	Name model.Class `msgpack:"name" json:"name"`
	// Priority orders classes; a higher number is served first.
	Priority int `msgpack:"priority" json:"priority"`
	// FirstToken is the target time to first token.
	FirstToken time.Duration `msgpack:"first_token" json:"first_token"`
}
