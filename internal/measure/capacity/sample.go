package capacity

import (
	"context"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/internal/deployment"
	measurerun "github.com/auburnbend/auburnbend/internal/measure/run"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

// cost is what a process uses in a window.
type cost struct {
	// core is the share of a core, memory in bytes.
	core, memory float64
}

// sample is the cost of one entry, of all its agents together, and the bytes
// per second between them.
type sample struct {
	entry, agents cost
	bytes         float64
}

// measure runs one entry here and a number of agents in another process, and
// takes the cost of a window in which nothing happens.
func measure(ctx context.Context, agents int, o options) (sample, error) {
	d, err := deployment.Start(deployment.Options{
		Domains: []model.FailureDomain{location.FailureDomain}, EntriesPerDomain: 1,
		TransferWindow: time.Second, StagingDir: os.TempDir(), Seed: o.seed,
	}, eventlog.Discard())
	if err != nil {
		return sample{}, err
	}
	defer d.Close()
	others, err := startChild(ctx, agents)
	if err != nil {
		return sample{}, err
	}
	defer others.stop()
	for _, i := range others.instances {
		d.InstanceList.Set(i)
	}
	if err := measurerun.Pause(ctx, o.settle); err != nil {
		return sample{}, err
	}
	if usable := d.Entries[0].Entry.UsableAgents(); usable != agents {
		return sample{}, merry.Errorf("%d of %d agents are connected", usable, agents)
	}
	return window(ctx, d, others, o.window)
}

func window(ctx context.Context, d *deployment.Deployment, others *child, length time.Duration) (sample, error) {
	agentsBefore, err := others.usage()
	if err != nil {
		return sample{}, err
	}
	entryBefore, begun := readUsage(), time.Now()
	sent, received := d.Entries[0].Entry.Traffic()
	if err := measurerun.Pause(ctx, length); err != nil {
		return sample{}, err
	}
	sentAfter, receivedAfter := d.Entries[0].Entry.Traffic()
	took := time.Since(begun)
	entryAfter := readUsage()
	agentsAfter, err := others.usage()
	return sample{
		entry:  costOf(entryBefore, entryAfter, took),
		agents: costOf(agentsBefore, agentsAfter, took),
		bytes:  float64(sentAfter-sent+receivedAfter-received) / took.Seconds(),
	}, err
}

func costOf(before, after usage, took time.Duration) cost {
	return cost{core: (after.Processor - before.Processor).Seconds() / took.Seconds(), memory: after.Memory}
}
