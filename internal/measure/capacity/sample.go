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
	// coreShare is the share of a core, memory in bytes.
	coreShare, memoryBytes float64
}

// sample is the cost of one entry, of all its agents together, and the bytes
// per second between them.
type sample struct {
	entry, agents  cost
	bytesPerSecond float64
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
	if err := measurerun.Sleep(ctx, o.settle); err != nil {
		return sample{}, err
	}
	if usable := d.Entries[0].Entry.UsableAgents(); usable != agents {
		return sample{}, merry.Errorf("%d of %d agents are connected", usable, agents)
	}
	return measureWindow(ctx, d, others, o.window)
}

func measureWindow(ctx context.Context, d *deployment.Deployment, others *child, length time.Duration) (sample, error) {
	agentsBefore, err := others.usage()
	if err != nil {
		return sample{}, err
	}
	entryBefore, begun := readUsage(), time.Now()
	sent, received := d.Entries[0].Entry.Traffic()
	if err := measurerun.Sleep(ctx, length); err != nil {
		return sample{}, err
	}
	sentAfter, receivedAfter := d.Entries[0].Entry.Traffic()
	took := time.Since(begun)
	entryAfter := readUsage()
	agentsAfter, err := others.usage()
	return sample{
		entry:          costBetween(entryBefore, entryAfter, took),
		agents:         costBetween(agentsBefore, agentsAfter, took),
		bytesPerSecond: float64(sentAfter-sent+receivedAfter-received) / took.Seconds(),
	}, err
}

func costBetween(before, after usage, took time.Duration) cost {
	return cost{coreShare: (after.CPUTime - before.CPUTime).Seconds() / took.Seconds(), memoryBytes: after.MemoryBytes}
}
