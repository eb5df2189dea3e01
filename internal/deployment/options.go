package deployment

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Options describes a deployment on loopback.
type Options struct {
	// Domains names the failure domains; each is a region of its own.
	Domains []model.FailureDomain
	// EntriesPerDomain and Agents are the instances of each failure domain.
	EntriesPerDomain, AgentsPerDomain int
	// ServicesPerDomain is the number of plain-service instances of each failure domain.
	ServicesPerDomain int
	// ModelBytes and ChunkBytes are the sizes of a version and of its chunks.
	ModelBytes int64
	ChunkBytes int
	// TransferWindow is the time in which the origin's link carries four copies and an
	// instance's link two.
	TransferWindow time.Duration
	// InstanceListLag is the delay of the instance list.
	InstanceListLag time.Duration
	// EngineTimeScale multiplies the times of the engine stand-ins.
	EngineTimeScale float64
	// EngineRestartDelay is the time from a crash of an engine to its return.
	EngineRestartDelay time.Duration
	// DisableCacheEvents keeps agents from passing the cache events of engines on.
	DisableCacheEvents bool
	// StagingDir holds the staging areas.
	StagingDir string
	Seed       int64
}

// Names of what the deployment declares.
const (
	ModelPool    = "drafting"
	OrderPool    = "orders"
	ModelName    = "crest"
	DraftService = "draft"
	OrderService = "order"
	TenantLarge  = "kigali-desk"
	TenantSmall  = "huye-bench"
)

const (
	originCopies   = 4
	instanceCopies = 2
	engineCapacity = 16
	balancerLag    = 300 * time.Millisecond
)

func (o Options) originRate() int64 {
	return int64(originCopies * float64(o.ModelBytes) / o.TransferWindow.Seconds())
}

func (o Options) linkRate() float64 {
	return instanceCopies * float64(o.ModelBytes) / o.TransferWindow.Seconds()
}
