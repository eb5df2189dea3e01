package configsim

import (
	"context"
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
)

// Operator applies changes to a configuration of typical size. It is not safe
// for concurrent use.
type Operator struct {
	store   *config.Store
	current *config.Config
	// AcceptedAt holds the simulated time at which each revision was accepted,
	// by number; index 0 is unused.
	AcceptedAt []time.Time
	// LastRevision is the last accepted revision, encoded.
	LastRevision []byte
}

// Sizes of a typical configuration. Each model has a pool in each failure domain.
const (
	defaultModels = 12
	tenantCount   = 10
)

// NewOperator returns an operator of the simulated deployment.
func (s *Sim) NewOperator() *Operator {
	return &Operator{
		store:      config.NewStore(s.Table, config.StoreConfig{Clock: s.clock}),
		current:    TypicalConfig(s.cfg.Domains, s.cfg.Models),
		AcceptedAt: make([]time.Time, 1),
	}
}

// ApplyChange writes a revision that changes one value to the store. Store faults
// are returned as errors.
func (o *Operator) ApplyChange(s *Sim) error {
	number := uint64(len(o.AcceptedAt))
	next := *o.current
	next.Tenants = append([]config.Tenant(nil), next.Tenants...)
	next.Tenants[int(number)%len(next.Tenants)].MaxQueued = 100 + int(number)
	result, err := o.store.Apply(context.Background(), config.Request{
		Config: &next, Expected: number - 1, Operation: fmt.Sprintf("change-%d", number), Author: "operator",
	})
	if err != nil {
		return err
	}
	o.current, o.LastRevision = &next, result.EncodedRevision
	o.AcceptedAt = append(o.AcceptedAt, s.Now())
	return nil
}

// ApplyChangeAt applies a change through an entry, which puts the accepted
// revision in force at once.
func (o *Operator) ApplyChangeAt(s *Sim, entry *Node) error {
	err := o.ApplyChange(s)
	if err == nil {
		entry.applyAndAnnounce([][]byte{o.LastRevision})
	}
	return err
}

// TypicalConfig returns a configuration of typical size with the given numbers of
// failure domains and models.
func TypicalConfig(domains, models int) *config.Config {
	c := &config.Config{Deployment: config.Deployment{TimeWeight: 0.5, OriginCopies: 2, TransferShare: 0.5, ClaimRetention: 24 * time.Hour}}
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		c.Models = append(c.Models, config.Model{
			Name: name, Version: "v1", Manifest: model.Sum([]byte(name)), ManifestObject: "manifests/" + name, Bytes: 14 << 30,
		})
		for d := range domains {
			c.Placements = append(c.Placements, config.Placement{
				Model: name, Version: "v1", FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", d)), Pool: name, Replicas: 40, MinLive: 30,
			})
		}
		c.Services = append(c.Services, config.Service{
			Name: model.Service(name), Kind: config.KindModel, Model: name, Version: "v1", Pool: name, Timeout: 30 * time.Second, MaxBodyBytes: 1 << 20,
		})
	}
	for i := range tenantCount {
		c.Tenants = append(c.Tenants, config.Tenant{Name: model.Tenant(fmt.Sprintf("team-%d", i)), Share: 1, MaxQueued: 100, RetryShare: 0.1})
	}
	return c
}
