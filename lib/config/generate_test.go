package config_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
)

// sampleConfig returns a valid configuration with the given number of models, each
// with one placement and one service. The variant sets the share of the tenant.
func sampleConfig(models, variant int) *config.Config {
	c := &config.Config{
		Deployment: config.Deployment{TimeWeight: 0.5, OriginCopies: 2, TransferShare: 0.5, ClaimRetention: 24 * time.Hour},
		Tenants:    []config.Tenant{{Name: "engravers", Share: 1 + variant, MaxQueued: 100, RetryShare: 0.1}},
		Classes:    []config.Class{{Name: "interactive", Priority: 10, FirstToken: time.Second}},
		Services:   []config.Service{{Name: "orders", Kind: config.KindPlain, Pool: "orders", Timeout: time.Second, MaxBodyBytes: 1 << 20}},
	}
	for i := range models {
		name := fmt.Sprintf("crest%d", i)
		c.Models = append(c.Models, config.Model{
			Name: name, Version: "v1.0", Manifest: model.Sum([]byte(name)), ManifestObject: "manifests/" + name, Bytes: 14 << 30,
		})
		c.Placements = append(c.Placements, config.Placement{Model: name, Version: "v1.0", FailureDomain: "kigali", Pool: name, Replicas: 3, MinLive: 1})
		c.Services = append(c.Services, config.Service{
			Name: model.Service(name), Kind: config.KindModel, Model: name, Version: "v1.0", Pool: name,
			Repeatable: i%2 == 0, Timeout: 30 * time.Second, MaxBodyBytes: 1 << 20,
		})
	}
	return c
}

// drawConfig generates a random valid configuration. Configurations from
// different calls have objects in common.
func drawConfig(t *rapid.T, label string) *config.Config {
	c := sampleConfig(rapid.IntRange(0, 4).Draw(t, label+" models"), rapid.IntRange(0, 3).Draw(t, label+" variant"))
	c.Deployment.TimeWeight = rapid.Float64Range(0, 1).Draw(t, label+" weight")
	c.Services[0].MaxBodyBytes = rapid.Int64Range(1, config.MaxBodyBytes).Draw(t, label+" body")
	c.Classes[0].FirstToken = time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, label+" first token"))
	if len(c.Models) > 1 && rapid.Bool().Draw(t, label+" adapter") {
		c.Models[1].Base, c.Models[1].BaseVersion = c.Models[0].Name, c.Models[0].Version
	}
	if len(c.Models) > 0 {
		first := c.Placements[0]
		first.FailureDomain = "huye"
		first.Role = rapid.SampledFrom([]model.Role{model.RoleMixed, model.RolePrefill, model.RoleDecode}).Draw(t, label+" role")
		c.Placements = append(c.Placements, first)
	}
	return c
}
