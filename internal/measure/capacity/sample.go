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

// cost is the resource usage of a process in a window.
type cost struct {
	// coreShare is the share of one core, 1 for a whole core.
	coreShare, memoryBytes float64
}

// sample holds the cost of one entry and of all its agents together, and the bytes
// per second that the entry sends and receives.
type sample struct {
	entry, agents  cost
	bytesPerSecond float64
}

// measure runs one entry in this process and a number of agents in another, and
// samples their cost over an idle window.
func measure(ctx context.Context, agents int, o options) (sample, error) {
	d, err := deployment.Start(deployment.Options{
		Domains: []model.FailureDomain{location.FailureDomain}, EntriesPerDomain: 1,
		TransferWindow: time.Second, StagingDir: os.TempDir(), Seed: o.seed,
	}, eventlog.Discard())
	if err != nil {
		return sample{}, err
	}
	defer d.Close()
	c, err := startChild(ctx, agents)
	if err != nil {
		return sample{}, err
	}
	defer c.stop()
	for _, i := range c.instances {
		d.InstanceList.Set(i)
	}
	if err := measurerun.Sleep(ctx, o.settle); err != nil {
		return sample{}, err
	}
	if usable := d.Entries[0].Entry.UsableAgents(); usable != agents {
		return sample{}, merry.Errorf("%d of %d agents are usable after %v", usable, agents, o.settle)
	}
	return measureWindow(ctx, d, c, o.window)
}

func measureWindow(ctx context.Context, d *deployment.Deployment, c *child, length time.Duration) (sample, error) {
	agentsBefore, err := c.usage()
	if err != nil {
		return sample{}, err
	}
	entryBefore, start := readUsage(), time.Now()
	sent, received := d.Entries[0].Entry.Traffic()
	if err := measurerun.Sleep(ctx, length); err != nil {
		return sample{}, err
	}
	sentAfter, receivedAfter := d.Entries[0].Entry.Traffic()
	elapsed := time.Since(start)
	entryAfter := readUsage()
	agentsAfter, err := c.usage()
	return sample{
		entry:          costBetween(entryBefore, entryAfter, elapsed),
		agents:         costBetween(agentsBefore, agentsAfter, elapsed),
		bytesPerSecond: float64(sentAfter-sent+receivedAfter-received) / elapsed.Seconds(),
	}, err
}

func costBetween(before, after usage, elapsed time.Duration) cost {
	return cost{coreShare: (after.CPUTime - before.CPUTime).Seconds() / elapsed.Seconds(), memoryBytes: after.MemoryBytes}
}
