package operatorrpc

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ConfigStore is the accepted configuration; *config.Store implements it.
type ConfigStore interface {
	Apply(ctx context.Context, req config.Request) (config.Result, error)
	Rollback(ctx context.Context, to uint64, req config.Request) (config.Result, error)
	Get(ctx context.Context, number uint64) (config.View, error)
	History(ctx context.Context, before uint64, limit int) ([]config.HistoryEntry, error)
	Operation(ctx context.Context, id string, settle bool) (config.Operation, error)
	Prune(ctx context.Context) (int, error)
}

// ConfigReplica shows what the entry has in force. Implementations are safe for
// concurrent use.
type ConfigReplica interface {
	// InForce returns nil before the first configuration.
	InForce() (*config.View, time.Duration)
	// ApplyAccepted takes over a revision that this entry just had accepted.
	ApplyAccepted(encoded []byte)
}

// FleetStatus shows what the entry knows about the fleet. Implementations are safe
// for concurrent use.
type FleetStatus interface {
	Domains() []DomainStatus
	Rollouts() []Rollout
	Instances() []Instance
}

// DomainStatus is the configuration in force in one failure domain.
type DomainStatus struct {
	Domain model.FailureDomain
	// Lowest and Highest are over the processes that were heard.
	Lowest, Highest config.Head
	// ConfigAge is the time since the store confirmed Highest as the newest.
	ConfigAge time.Duration
	Processes int
	// SinceHeartbeat is the time since the domain was last heard.
	SinceHeartbeat time.Duration
}

// Rollout is the state of one version in one failure domain.
type Rollout struct {
	Model   string
	Version string
	Domain  model.FailureDomain
	Pool    string
	// DesiredInstances is the number of instances that should serve the version.
	DesiredInstances int
	// Phases counts instances by phase.
	Phases      map[wire.Phase]int
	OriginBytes int64
	PeerBytes   int64
	// TotalBytes is what all wanted instances have to receive.
	TotalBytes int64
	// Remaining is the estimated time; 0 lets the server estimate it from the
	// progress during the call.
	Remaining time.Duration
}

// Complete reports whether every wanted instance is live.
func (r Rollout) Complete() bool { return r.Phases[wire.PhaseLive] >= r.DesiredInstances }

// Instance is one entry or agent that the entry knows.
type Instance struct {
	Identity model.Identity
	Role     wire.Role
	Pool     string
	// State is live, draining, ejected or silent.
	State    string
	Revision uint64
	Weights  []model.Weights
	Running  int
	Queued   int
	// SinceHeartbeat is the time since the instance was last heard.
	SinceHeartbeat time.Duration
}
