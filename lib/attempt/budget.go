package attempt

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

const (
	// defaultRetryShare is the number of retries allowed per successful request.
	defaultRetryShare = 0.1
	// defaultTenantMinRate is the retry rate, per second, of a tenant without
	// successful requests. It keeps a budget from being stuck at zero.
	defaultTenantMinRate = 0.5
	// defaultDeploymentMinRate is the same for all tenants of an entry together.
	defaultDeploymentMinRate = 2
	// defaultTenantBurst and defaultDeploymentBurst limit accumulated retries.
	defaultTenantBurst     = 10
	defaultDeploymentBurst = 50
)

// BudgetConfig holds the parameters of a Budget. Values that are not positive
// take their defaults.
type BudgetConfig struct {
	// TenantShare is the number of retries allowed per successful request of a
	// tenant, for tenants without a share set by SetShare.
	TenantShare float64
	// DeploymentShare is the same ratio for all tenants together.
	DeploymentShare float64
	// TenantMinRate and DeploymentMinRate are refill rates in retries per second.
	TenantMinRate     float64
	DeploymentMinRate float64
	// TenantBurst and DeploymentBurst are the bucket sizes in retries.
	TenantBurst     float64
	DeploymentBurst float64
}

func (c BudgetConfig) applyDefaults() BudgetConfig {
	set := func(v *float64, fallback float64) {
		if *v <= 0 {
			*v = fallback
		}
	}
	set(&c.TenantShare, defaultRetryShare)
	set(&c.DeploymentShare, defaultRetryShare)
	set(&c.TenantMinRate, defaultTenantMinRate)
	set(&c.DeploymentMinRate, defaultDeploymentMinRate)
	set(&c.TenantBurst, defaultTenantBurst)
	set(&c.DeploymentBurst, defaultDeploymentBurst)
	return c
}

// Budget limits retries to a share of the successful requests, per tenant and
// for the whole entry, so that a fault does not multiply the load. It is safe
// for concurrent use; all requests of an entry share one Budget. Only declared
// tenants use it, which bounds its size.
type Budget struct {
	config BudgetConfig

	mu         sync.Mutex
	deployment bucket
	tenants    map[model.Tenant]*bucket
	shares     map[model.Tenant]float64
}

// NewBudget returns a budget with full buckets.
func NewBudget(config BudgetConfig) *Budget {
	config = config.applyDefaults()
	return &Budget{
		config:     config,
		deployment: bucket{tokens: config.DeploymentBurst},
		tenants:    make(map[model.Tenant]*bucket),
		shares:     make(map[model.Tenant]float64),
	}
}

// SetShare sets the declared retry share of a tenant, from 0 to 1.
func (b *Budget) SetShare(tenant model.Tenant, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[tenant] = share
}

// Forget removes a tenant that is no longer declared.
func (b *Budget) Forget(tenant model.Tenant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.tenants, tenant)
	delete(b.shares, tenant)
}

// take takes one retry from the buckets of the tenant and the deployment. If
// either is empty, it returns false and takes none. A nil budget allows every
// retry.
func (b *Budget) take(tenant model.Tenant, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tenant(tenant)
	t.fill(now, b.config.TenantMinRate, b.config.TenantBurst)
	b.deployment.fill(now, b.config.DeploymentMinRate, b.config.DeploymentBurst)
	if t.tokens < 1 || b.deployment.tokens < 1 {
		return false
	}
	t.tokens--
	b.deployment.tokens--
	return true
}

// addSuccess adds the retries that a successful request allows.
func (b *Budget) addSuccess(tenant model.Tenant, now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	share, ok := b.shares[tenant]
	if !ok {
		share = b.config.TenantShare
	}
	t := b.tenant(tenant)
	t.fill(now, b.config.TenantMinRate, b.config.TenantBurst)
	t.tokens = min(b.config.TenantBurst, t.tokens+share)
	b.deployment.fill(now, b.config.DeploymentMinRate, b.config.DeploymentBurst)
	b.deployment.tokens = min(b.config.DeploymentBurst, b.deployment.tokens+b.config.DeploymentShare)
}

func (b *Budget) tenant(tenant model.Tenant) *bucket {
	t, ok := b.tenants[tenant]
	if !ok {
		t = &bucket{tokens: b.config.TenantBurst}
		b.tenants[tenant] = t
	}
	return t
}
