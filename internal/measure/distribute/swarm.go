package distribute

import (
	"context"
	"math/rand"
	"sync"
	"time"

	decide "github.com/auburnbend/auburnbend/lib/distribute"
)

// runTimeout bounds one run, so that the experiment ends in time whatever happens.
const runTimeout = 30 * time.Second

// runSwarm runs the system itself. Killed instances die at random times within the
// given time after the start.
func runSwarm(o *Options, name string, timeWeight, kill float64, f faults) (*result, decide.Plan, error) {
	fl, err := newFleet(o, timeWeight, f, true)
	if err != nil {
		return nil, decide.Plan{}, err
	}
	defer fl.close()
	ctx, cancel := context.WithTimeout(fl.ctx, runTimeout)
	defer cancel()
	rng := rand.New(rand.NewSource(o.Seed + 7))
	victims := rng.Perm(o.Agents)[:int(kill*float64(o.Agents))]
	start := time.Now()
	var wg sync.WaitGroup
	for _, v := range victims {
		fl.agents[v].killed = true
		delay := time.Duration(rng.Int63n(int64(f.stallWindow)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(delay)
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
