package deployment

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/operator"
	"github.com/auburnbend/auburnbend/standin/engine"
)

// Publish creates a version with random weights and uploads its weights and manifest
// to the origin.
func (d *Deployment) Publish(name string) (Version, error) {
	data := make([]byte, d.Options.ModelBytes)
	d.rand.Read(data)
	object := "weights/" + name
	m, err := weights.BuildBytes(data, object, model.Digest{}, d.Options.ChunkBytes)
	if err != nil {
		return Version{}, err
	}
	encoded, err := m.Encode()
	if err != nil {
		return Version{}, err
	}
	digest := model.Sum(encoded)
	d.Origin.Put(object, data)
	d.Origin.Put(manifestObject(name), encoded)
	chunks := make([]model.Digest, 0, len(m.Chunks))
	for _, c := range m.Chunks {
		chunks = append(chunks, c.Digest)
	}
	v := Version{
		Name:          name,
		Digest:        digest,
		Weights:       model.Weights{Base: digest},
		ContentDigest: engine.ContentDigest(chunks...),
	}
	d.Versions = append(d.Versions, v)
	return v, nil
}

func manifestObject(version string) string { return "manifests/" + version }

// ConfigFor returns a configuration that places a version in all failure domains.
func (d *Deployment) ConfigFor(placed string) *config.Config {
	c := &config.Config{
		Deployment: config.Deployment{TimeWeight: 1, OriginCopies: len(d.Options.Domains), TransferShare: 0.8, ClaimRetention: 24 * time.Hour},
		Services: []config.Service{
			{Name: DraftService, Kind: config.KindModel, Model: ModelName, Pool: ModelPool, Repeatable: true, Timeout: 20 * time.Second, MaxBodyBytes: 64 << 10},
			{Name: OrderService, Kind: config.KindPlain, Pool: OrderPool, Timeout: 10 * time.Second, MaxBodyBytes: 64 << 10},
		},
		Tenants: []config.Tenant{
			{Name: TenantLarge, Share: 4, MaxQueued: 256, RetryShare: 0.1},
			{Name: TenantSmall, Share: 1, MaxQueued: 256, RetryShare: 0.1},
		},
		Classes: []config.Class{
			{Name: "interactive", Priority: 2, FirstToken: 1400 * time.Millisecond},
			{Name: "batch", Priority: 1, FirstToken: 10 * time.Second},
		},
	}
	for _, v := range d.Versions {
		c.Models = append(c.Models, config.Model{
			Name: ModelName, Version: v.Name, Manifest: v.Digest,
			ManifestObject: manifestObject(v.Name), Bytes: d.Options.ModelBytes,
		})
	}
	for _, domain := range d.Options.Domains {
		c.Placements = append(c.Placements, config.Placement{
			Model: ModelName, Version: placed, FailureDomain: domain, Pool: ModelPool, Replicas: d.ReplicasPerDomain, MinLive: d.Options.AgentsPerDomain / 2,
		})
	}
	return c
}

// PublishAndPlace publishes a version and places it in all failure domains through
// the operator interface. It does not wait until the version is live.
func (d *Deployment) PublishAndPlace(ctx context.Context, name string) (Version, error) {
	v, err := d.Publish(name)
	if err != nil {
		return v, err
	}
	client, err := d.NewOperatorClient()
	if err != nil {
		return v, err
	}
	defer func() { _ = client.Close() }()
	newest, err := client.Get(ctx, 0, false)
	if err != nil && !errors.Is(err, config.ErrRevisionNotFound) {
		return v, err
	}
	_, err = client.Apply(ctx, config.Request{
		Config: d.ConfigFor(name), Expected: newest.Head.Number, Operation: "place-" + name, Author: "operator",
	})
	return v, err
}

// NewOperatorClient returns a client of the operator interface of all entries. The
// caller closes it.
func (d *Deployment) NewOperatorClient() (*operator.Client, error) {
	var addresses []string
	for _, e := range d.Entries {
		addresses = append(addresses, e.OperatorAddress)
	}
	return operator.New(operator.Config{Addresses: addresses, Plaintext: true})
}

// ApplyConfigWithoutModel applies a first configuration without placements and
// model services.
func (d *Deployment) ApplyConfigWithoutModel(ctx context.Context) error {
	client, err := d.NewOperatorClient()
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	c := d.ConfigFor("")
	c.Placements = nil
	c.Services = slices.DeleteFunc(c.Services, func(s config.Service) bool { return s.Kind == config.KindModel })
	_, err = client.Apply(ctx, config.Request{Config: c, Operation: "configure", Author: "operator"})
	return err
}
