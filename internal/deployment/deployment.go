// Package deployment runs a whole deployment in one process on loopback: the
// stand-ins of the platform, of engines and of plain services, and the real
// entries and agents. The demo and the tests of the whole path use it.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/operator"
	"github.com/auburnbend/auburnbend/standin/engine"
	"github.com/auburnbend/auburnbend/standin/instances"
	"github.com/auburnbend/auburnbend/standin/origin"
	"github.com/auburnbend/auburnbend/standin/table"
)

// Deployment is a running deployment. Its methods are called by one goroutine.
type Deployment struct {
	Options Options
	Table   *table.Service
	Origin  *origin.Source
	List    *instances.List
	Entries []*EntryProcess
	Agents  []*AgentProcess
	// Replicas is the number of instances of each failure domain that Place asks
	// for; 0 means all.
	Replicas int
	// Versions are the published versions of the model in order.
	Versions []Version

	rand *rand.Rand
	log  *eventlog.Logger
}

// Version is one published version of the model.
type Version struct {
	Name    string
	Digest  model.Digest
	Weights model.Weights
	// Content is the digest that answers of an engine with exactly this version
	// carry.
	Content model.Digest
}

// Start starts the stand-ins, entries and agents.
func Start(o Options, log *eventlog.Logger) (*Deployment, error) {
	d := &Deployment{
		Options: o,
		Table:   table.New(),
		Origin:  origin.New(origin.Config{LinkBytesPerSecond: o.originRate(), Clock: clock.System{}}),
		List:    instances.New(instances.Config{Lag: o.ListLag, Clock: clock.System{}}),
		rand:    rand.New(rand.NewSource(o.Seed)),
		log:     log,
	}
	for _, domain := range o.Domains {
		if err := d.startDomain(domain); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

func (d *Deployment) startDomain(domain model.FailureDomain) error {
	for i := range d.Options.Entries {
		if err := d.startEntry(domain, i); err != nil {
			return err
		}
	}
	for i := range d.Options.Agents {
		if err := d.StartAgent(domain, fmt.Sprintf("%s-runner-%d", domain, i), ModelPool); err != nil {
			return err
		}
	}
	for i := range d.Options.Services {
		if err := d.StartAgent(domain, fmt.Sprintf("%s-order-%d", domain, i), OrderPool); err != nil {
			return err
		}
	}
	return nil
}

// Close stops everything at once.
func (d *Deployment) Close() {
	var ends sync.WaitGroup
	for _, a := range d.Agents {
		ends.Go(a.close)
	}
	for _, e := range d.Entries {
		ends.Go(e.close)
	}
	ends.Wait()
}

// Publish makes a new version, puts it at the origin and returns it.
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
	files := make([]model.Digest, 0, len(m.Chunks))
	for _, c := range m.Chunks {
		files = append(files, c.Digest)
	}
	v := Version{
		Name:    name,
		Digest:  digest,
		Weights: model.Weights{Base: digest},
		Content: engine.ContentDigest(files...),
	}
	d.Versions = append(d.Versions, v)
	return v, nil
}

func manifestObject(version string) string { return "manifests/" + version }

// Declare returns the configuration that places a version in all domains.
func (d *Deployment) Declare(placed string) *config.Config {
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
			Model: ModelName, Version: placed, FailureDomain: domain, Pool: ModelPool, Replicas: d.Replicas, MinLive: d.Options.Agents / 2,
		})
	}
	return c
}

// Live returns the number of running model agents that serve a version.
func (d *Deployment) Live(v Version) int {
	live := 0
	for _, a := range d.Agents {
		if a.Pool == ModelPool && !a.Stopped() && a.Serves(v) {
			live++
		}
	}
	return live
}

// Running returns the number of model agents that have not been stopped.
func (d *Deployment) Running() int {
	running := 0
	for _, a := range d.Agents {
		if a.Pool == ModelPool && !a.Stopped() {
			running++
		}
	}
	return running
}

// WaitLive waits until all running model agents serve a version. Progress is
// called about every tick.
func (d *Deployment) WaitLive(ctx context.Context, v Version, tick time.Duration, progress func(live, of int)) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		live, of := d.Live(v), d.Running()
		if progress != nil {
			progress(live, of)
		}
		if live == of {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), fmt.Errorf("%d of %d instances serve %s", live, of, v.Name))
		}
	}
}

func (d *Deployment) stagingOf(instance string) (string, error) {
	path := filepath.Join(d.Options.Directory, instance)
	return path, os.MkdirAll(path, 0o750)
}

// ModelAgents returns the agents of model engines, stopped ones included.
func (d *Deployment) ModelAgents() []*AgentProcess {
	var found []*AgentProcess
	for _, a := range d.Agents {
		if a.Pool == ModelPool {
			found = append(found, a)
		}
	}
	return found
}

// DraftRuns returns how often a request started to run on any engine.
func (d *Deployment) DraftRuns(request string) int {
	runs := 0
	for _, a := range d.ModelAgents() {
		runs += a.Engine.Runs(model.RequestID(request))
	}
	return runs
}

// OrderRuns returns how often the order with a key ran on any plain service.
func (d *Deployment) OrderRuns(key string) int {
	runs := 0
	for _, a := range d.Agents {
		if a.Service != nil {
			runs += a.Service.Runs(key)
		}
	}
	return runs
}

// Place publishes a version and places it in all failure domains through the
// operators' interface.
func (d *Deployment) Place(ctx context.Context, name string) (Version, error) {
	v, err := d.Publish(name)
	if err != nil {
		return v, err
	}
	client, err := d.Operator()
	if err != nil {
		return v, err
	}
	defer func() { _ = client.Close() }()
	newest, err := client.Get(ctx, 0, false)
	if err != nil && !errors.Is(err, config.ErrRevisionNotFound) {
		return v, err
	}
	_, err = client.Apply(ctx, config.Request{
		Config: d.Declare(name), Expected: newest.Head.Number, Operation: "place-" + name, Author: "operator",
	})
	return v, err
}

// Operator returns a client of the operators' interface.
func (d *Deployment) Operator() (*operator.Client, error) {
	var addresses []string
	for _, e := range d.Entries {
		addresses = append(addresses, e.Operators)
	}
	return operator.New(operator.Config{Addresses: addresses, Plaintext: true})
}

// Configure applies a configuration without a model.
func (d *Deployment) Configure(ctx context.Context) error {
	client, err := d.Operator()
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	c := d.Declare("")
	c.Placements = nil
	c.Services = slices.DeleteFunc(c.Services, func(s config.Service) bool { return s.Kind == config.KindModel })
	_, err = client.Apply(ctx, config.Request{Config: c, Operation: "configure", Author: "operator"})
	return err
}

// SentTo returns the attempts that all entries have placed on an agent.
func (d *Deployment) SentTo(a *AgentProcess) int {
	sent := 0
	for _, e := range d.Entries {
		sent += e.Entry.Sent(a.Identity.Instance)
	}
	return sent
}
