package distribute

import (
	"context"
	"math/rand"
	"sync"
	"time"

	libdistribute "github.com/auburnbend/auburnbend/lib/distribute"
)

// runTimeout limits one run, so that the experiment ends even if a run hangs.
const runTimeout = 30 * time.Second

// runSwarm distributes the weights with the real tracker and transfer code. The
// share killShare of the instances is killed at random times within f.stallWindow
// after the start.
func runSwarm(o *Options, name string, timeWeight, killShare float64, f faults) (*result, libdistribute.Plan, error) {
	fl, err := newFleet(o, timeWeight, f, true)
	if err != nil {
		return nil, libdistribute.Plan{}, err
	}
	defer fl.close()
	ctx, cancel := context.WithTimeout(fl.ctx, runTimeout)
	defer cancel()
	rng := rand.New(rand.NewSource(o.Seed + 7))
	victims := rng.Perm(o.Agents)[:int(killShare*float64(o.Agents))]
	start := time.Now()
	var wg sync.WaitGroup
	for _, v := range victims {
		fl.agents[v].killed = true
		killAfter := time.Duration(rng.Int63n(int64(f.stallWindow)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(killAfter)
			fl.agents[v].kill()
		}()
	}
	for _, a := range fl.agents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a.err = a.service.Fetch(ctx, fl.digest, manifestObject)
			a.finished = time.Now()
		}()
	}
	wg.Wait()
	return newResult(name, start, fl), fl.plan, nil
}
