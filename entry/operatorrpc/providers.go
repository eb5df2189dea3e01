package operatorrpc

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ConfigStore stores the accepted revisions of the configuration. *config.Store
// implements it.
type ConfigStore interface {
	Apply(ctx context.Context, req config.Request) (config.Result, error)
	Rollback(ctx context.Context, to uint64, req config.Request) (config.Result, error)
	Get(ctx context.Context, number uint64) (config.View, error)
	History(ctx context.Context, before uint64, limit int) ([]config.HistoryEntry, error)
	Operation(ctx context.Context, id string, settle bool) (config.Operation, error)
	Prune(ctx context.Context) (int, error)
}

// ConfigReplica holds the configuration in force on the entry. Implementations must be
// safe for concurrent use.
type ConfigReplica interface {
	// InForce returns the configuration in force and the time since the store confirmed
	// it as the newest. It returns nil if there is no configuration yet.
	InForce() (*config.View, time.Duration)
	// ApplyAccepted applies an encoded revision that the store has just accepted from
	// this entry.
	ApplyAccepted(encoded []byte)
}

// FleetStatus provides the entry's view of the fleet. Implementations must be safe for
// concurrent use.
type FleetStatus interface {
	Domains() []DomainStatus
	Rollouts() []Rollout
	Instances() []Instance
}

// DomainStatus is the configuration in force in one failure domain.
type DomainStatus struct {
	Domain model.FailureDomain
	// Lowest and Highest are the lowest and highest revisions of its processes.
	Lowest, Highest config.Head
	// ConfigAge is the time since the store confirmed Highest as the newest revision.
	ConfigAge time.Duration
	// Processes is the number of processes that have sent a heartbeat.
	Processes int
	// SinceHeartbeat is the time since the last heartbeat from any process of the
	// domain.
	SinceHeartbeat time.Duration
}

// Rollout is the rollout of one version in one failure domain.
type Rollout struct {
	Model   string
	Version string
	Domain  model.FailureDomain
	Pool    string
	// DesiredInstances is the number of instances that should serve the version.
	DesiredInstances int
	// Phases is the number of instances in each phase.
	Phases map[wire.Phase]int
	// OriginBytes and PeerBytes are the bytes received from the origin and from peers.
	OriginBytes int64
	PeerBytes   int64
	// TotalBytes is the number of bytes that all desired instances must receive.
	TotalBytes int64
	// Remaining is the estimated remaining time. If it is 0, the server estimates it
	// from the progress during the call.
	Remaining time.Duration
}

// Complete reports whether all desired instances serve the version.
func (r Rollout) Complete() bool { return r.Phases[wire.PhaseLive] >= r.DesiredInstances }

// Instance is an entry or agent that is known to this entry.
type Instance struct {
	Identity model.Identity
	Role     wire.Role
	Pool     string
	// State is live, draining, silent, gone or not_connected.
	State string
	// Revision is the number of the configuration in force on the instance.
	Revision uint64
	Weights  []model.Weights
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// SinceHeartbeat is the time since the last heartbeat of the instance.
	SinceHeartbeat time.Duration
}
