package deployment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// CountServing returns the number of agents of model engines that have not been
// stopped and serve a version.
func (d *Deployment) CountServing(v Version) int {
	serving := 0
	for _, a := range d.Agents {
		if a.Pool == ModelPool && !a.Stopped() && a.Serves(v) {
			serving++
		}
	}
	return serving
}

// CountRunning returns the number of agents of model engines that have not been
// stopped.
func (d *Deployment) CountRunning() int {
	running := 0
	for _, a := range d.Agents {
		if a.Pool == ModelPool && !a.Stopped() {
			running++
		}
	}
	return running
}

// WaitLive waits until all running agents of model engines serve a version, or ctx
// ends. It checks and calls progress, if not nil, once per tick.
func (d *Deployment) WaitLive(ctx context.Context, v Version, tick time.Duration, progress func(live, total int)) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		live, total := d.CountServing(v), d.CountRunning()
		if progress != nil {
			progress(live, total)
		}
		if live == total {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), fmt.Errorf("%d of %d instances serve version %s", live, total, v.Name))
		}
	}
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

// WrongContentRuns returns the number of requests that started to run on an engine
// whose loaded bytes are not those of a published version.
func (d *Deployment) WrongContentRuns() int {
	wrong := 0
	for _, a := range d.ModelAgents() {
		for content, runs := range a.Engine.ContentRuns() {
			if !slices.ContainsFunc(d.Versions, func(v Version) bool { return v.ContentDigest == content }) {
				wrong += runs
			}
		}
	}
	return wrong
}

// DraftRuns returns how often a request started to run, summed over all engines.
func (d *Deployment) DraftRuns(request string) int {
	runs := 0
	for _, a := range d.ModelAgents() {
		runs += a.Engine.RunCount(model.RequestID(request))
	}
	return runs
}

// OrderRuns returns how often the order with an idempotency key ran, summed over all
// plain services.
func (d *Deployment) OrderRuns(key string) int {
	runs := 0
	for _, a := range d.Agents {
		if a.Service != nil {
			runs += a.Service.RunCount(key)
		}
	}
	return runs
}

// AttemptsSentTo returns the number of attempts that all entries together have sent
// to an agent.
func (d *Deployment) AttemptsSentTo(a *AgentProcess) int {
	sent := 0
	for _, e := range d.Entries {
		sent += e.Entry.AttemptsSent(a.Identity.Instance)
	}
	return sent
}
