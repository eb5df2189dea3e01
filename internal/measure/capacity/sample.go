package capacity

import (
	"context"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

// sample is the cost of one entry and its agents.
type sample struct {
	coreShare      float64
	bytesPerSecond float64
	heapBytes      float64
}

// measure runs one entry with a number of agents of plain services, which hold
// no weights, and takes the cost of a window in which nothing happens.
func measure(ctx context.Context, agents int, o options) (sample, error) {
	directory, err := os.MkdirTemp("", "auburnbend-capacity-")
	if err != nil {
		return sample{}, merry.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	d, err := deployment.Start(deployment.Options{
		Domains: []model.FailureDomain{"kigali"}, Entries: 1, Services: agents,
		Window: time.Second, Directory: directory, Seed: o.seed,
	}, eventlog.Discard())
	if err != nil {
		return sample{}, err
	}
	defer d.Close()
	if err := pause(ctx, o.settle); err != nil {
		return sample{}, err
	}
	entry := d.Entries[0].Entry
	if usable := entry.Usable(); usable != agents {
		return sample{}, merry.Errorf("%d of %d agents are connected", usable, agents)
	}
	runtime.GC()
	var heap runtime.MemStats
	runtime.ReadMemStats(&heap)
	cpu, begun := processorTime(), time.Now()
	sent, received := entry.Traffic()
	if err := pause(ctx, o.window); err != nil {
		return sample{}, err
	}
	took := time.Since(begun).Seconds()
	sentAfter, receivedAfter := entry.Traffic()
	return sample{
		coreShare:      (processorTime() - cpu).Seconds() / took,
		bytesPerSecond: float64(sentAfter-sent+receivedAfter-received) / took,
		heapBytes:      float64(heap.HeapAlloc) + float64(heap.StackInuse),
	}, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the own process does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
