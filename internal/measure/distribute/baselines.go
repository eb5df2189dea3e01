package distribute

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// treeFanOut is the number of children of an instance in the fixed tree.
	treeFanOut = 2
	// treePollInterval is the time after which a child again requests a chunk that
	// its parent did not hold yet.
	treePollInterval = 5 * time.Millisecond
	// originOnlySpeedup is the factor by which links are faster in the origin-only
	// run.
	originOnlySpeedup = 4
	// originOnlyTimeout limits the origin-only run, the slowest baseline.
	originOnlyTimeout = 50 * time.Second
)

// runOriginOnly has each instance read everything from the origin. All links are
// originOnlySpeedup times as fast and the measured times are multiplied by the
// same factor, so that the whole experiment ends within two minutes. The scaling
// is valid because the time is that of N copies at the origin's rate, whatever
// that rate is.
func runOriginOnly(o *Options) (*result, error) {
	scaled := *o
	scaled.Window /= originOnlySpeedup
	r, err := runBaseline(&scaled, "origin only", originOnlyTimeout, func(ctx context.Context, fl *fleet, i int) error {
		return fetchFromOrigin(ctx, fl, fl.agents[i], 0, 1)
	})
	if err != nil {
		return nil, err
	}
	for i := range r.completionTimes {
		r.completionTimes[i] *= originOnlySpeedup
	}
	return r, nil
}

// runTree distributes the weights along a fixed binary tree in each failure domain,
// whose root reads from the origin. Children can fetch each chunk as soon as their
// parent holds it.
func runTree(o *Options) (*result, error) {
	return runBaseline(o, "fixed tree", runTimeout*2, func(ctx context.Context, fl *fleet, i int) error {
		a := fl.agents[i]
		position := i / o.Domains // in the tree of its failure domain
		var wg sync.WaitGroup
		errs := make([]error, o.Streams)
		for s := range o.Streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if position == 0 {
					errs[s] = fetchFromOrigin(ctx, fl, a, s, o.Streams)
					return
				}
				parent := fl.agents[(position-1)/treeFanOut*o.Domains+i%o.Domains]
				errs[s] = fetchFromParent(ctx, fl, a, parent, s, o.Streams)
			}()
		}
		wg.Wait()
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// runBaseline runs fetch for all agents at once, without entries.
func runBaseline(o *Options, name string, limit time.Duration, fetch func(context.Context, *fleet, int) error) (*result, error) {
	fl, err := newFleet(o, 1, faults{}, false)
	if err != nil {
		return nil, err
	}
	defer fl.close()
	ctx, cancel := context.WithTimeout(fl.ctx, limit)
	defer cancel()
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range fl.agents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a.err = fetch(ctx, fl, i)
			a.finished = time.Now()
		}()
	}
	wg.Wait()
	return newResult(name, start, fl), nil
}

// fetchFromOrigin reads the chunks first, first+step and so on from the origin.
func fetchFromOrigin(ctx context.Context, fl *fleet, a *agent, first, step int) error {
	for i := first; i < len(fl.manifest.Chunks); i += step {
		c := fl.manifest.Chunks[i]
		r, err := (originClient{fl.origin, a.node}).ReadRange(ctx, weightsObject, fl.manifest.Offset(i), int64(c.Size))
		if err != nil {
			return err
		}
		var buf bytes.Buffer
		if _, err := io.Copy(&buf, r); err != nil {
			return err
		}
		if err := a.chunks.Put(c, buf.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// fetchFromParent fetches the chunks first, first+step and so on from the parent.
func fetchFromParent(ctx context.Context, fl *fleet, a, parent *agent, first, step int) error {
	conn, err := a.dial(ctx, fl, parent)
	if err != nil {
		return err
	}
	defer conn.Close()
	for i := first; i < len(fl.manifest.Chunks); {
		c := fl.manifest.Chunks[i]
		if err := conn.Send(&wire.ChunkFetch{RequestID: uint64(i), Chunk: c.Digest}); err != nil {
			return err
		}
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		data, ok := m.(*wire.ChunkData)
		if !ok {
			select {
			case <-time.After(treePollInterval):
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := a.chunks.Put(c, data.Data); err != nil {
			return err
		}
		i += step
	}
	return nil
}
