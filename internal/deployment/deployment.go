// Package deployment runs a whole deployment in one process on loopback: real
// entries and agents, and stand-ins for the platform, the engines and the plain
// services. The demo, measurements and end-to-end tests use it.
package deployment

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/instances"
	"github.com/auburnbend/auburnbend/standin/origin"
	"github.com/auburnbend/auburnbend/standin/table"
)

// Deployment is a running deployment. Its methods must not be called concurrently.
type Deployment struct {
	Options      Options
	Table        *table.Service
	Origin       *origin.Source
	InstanceList *instances.List
	Entries      []*EntryProcess
	Agents       []*AgentProcess
	// ReplicasPerDomain is the number of replicas that ConfigFor declares for each
	// failure domain; 0 means all instances.
	ReplicasPerDomain int
	// Versions are the published versions of the model, oldest first.
	Versions []Version

	rand *rand.Rand
	log  *eventlog.Logger
}

// Start starts the stand-ins, entries and agents. On an error it closes what it has
// started.
func Start(o Options, log *eventlog.Logger) (*Deployment, error) {
	d := &Deployment{
		Options:      o,
		Table:        table.New(),
		Origin:       origin.New(origin.Config{LinkBytesPerSecond: o.originRate(), Clock: clock.System{}}),
		InstanceList: instances.New(instances.Config{Lag: o.InstanceListLag, Clock: clock.System{}}),
		rand:         rand.New(rand.NewSource(o.Seed)),
		log:          log,
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
	for i := range d.Options.EntriesPerDomain {
		if err := d.startEntry(domain, i); err != nil {
			return err
		}
	}
	for i := range d.Options.AgentsPerDomain {
		if err := d.StartAgent(domain, fmt.Sprintf("%s-runner-%d", domain, i), ModelPool); err != nil {
			return err
		}
	}
	for i := range d.Options.ServicesPerDomain {
		if err := d.StartAgent(domain, fmt.Sprintf("%s-order-%d", domain, i), OrderPool); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all entries, agents and backend servers without draining them.
func (d *Deployment) Close() {
	var closing sync.WaitGroup
	for _, a := range d.Agents {
		closing.Go(a.close)
	}
	for _, e := range d.Entries {
		closing.Go(e.close)
	}
	closing.Wait()
}

func (d *Deployment) createStagingDir(instance string) (string, error) {
	path := filepath.Join(d.Options.StagingDir, instance)
	return path, os.MkdirAll(path, 0o750)
}
