package deployment

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Options describes a deployment on loopback.
type Options struct {
	// Domains lists the failure domains. Each is a region of its own.
	Domains []model.FailureDomain
	// EntriesPerDomain and AgentsPerDomain are the numbers of entries and of agents
	// of model engines in each failure domain.
	EntriesPerDomain, AgentsPerDomain int
	// ServicesPerDomain is the number of plain services, each with its agent, in each
	// failure domain.
	ServicesPerDomain int
	// ModelBytes and ChunkBytes are the sizes of a version and of its chunks.
	ModelBytes int64
	ChunkBytes int
	// TransferWindow is the time in which the origin's link can carry four copies of
	// a version and an instance's link two. It sets the rates of the links.
	TransferWindow time.Duration
	// InstanceListLag is the delay after which changes of the instance list become
	// visible.
	InstanceListLag time.Duration
	// EngineTimeScale is the factor applied to the times of the engine stand-ins.
	EngineTimeScale float64
	// EngineRestartDelay is the time from the crash of an engine to its restart.
	EngineRestartDelay time.Duration
	// DisableCacheEvents keeps agents from forwarding the cache events of engines.
	DisableCacheEvents bool
	// EntryBodyBytes and AgentBodyBytes limit the memory of long bodies in each entry and
	// agent; 0 means their defaults.
	EntryBodyBytes, AgentBodyBytes int64
	// StagingDir holds a staging directory for each agent of a model engine.
	StagingDir string
	// Seed seeds all random choices of the deployment.
	Seed int64
}

// Names in the declared configuration.
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

// originRate returns the rate of the origin's link in bytes per second.
func (o Options) originRate() int64 {
	return int64(originCopies * float64(o.ModelBytes) / o.TransferWindow.Seconds())
}

// linkRate returns the rate of an instance's link in bytes per second.
func (o Options) linkRate() float64 {
	return instanceCopies * float64(o.ModelBytes) / o.TransferWindow.Seconds()
}
