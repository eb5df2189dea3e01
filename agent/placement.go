package agent

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// placement decides whether the declared placement of the pool includes this instance. It
// is safe for concurrent use.
type placement struct {
	// declared returns the weights of the configuration in force and the number of
	// instances that serve them, 0 for all. ok is false if there is no placement.
	declared func() (w model.Weights, replicas int, ok bool)
	// setWanted is called when the outcome changes. It is passed the placed weights, or
	// none if the placement doesn't include this instance; the live weights then stay live.
	setWanted func(model.Weights)

	// mu is held during setWanted, so that an older decision never overrides a newer one.
	mu    sync.Mutex
	ranks ranks
	// wanted is the last outcome, nil before the first.
	wanted *model.Weights
}

// update changes the ranks and decides again.
func (p *placement) update(now time.Time, change func(*ranks)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.ranks)
	p.decide(now)
}

// apply decides again. It is called when the configuration has changed, and regularly
// because the rank also depends on the time.
func (p *placement) apply(now time.Time) { p.update(now, func(*ranks) {}) }

func (p *placement) decide(now time.Time) {
	w, replicas, ok := p.declared()
	if !ok {
		return
	}
	rank := p.ranks.current(now)
	if replicas > 0 && (rank == unknownRank || rank >= replicas) {
		w = model.Weights{}
	}
	if p.wanted == nil || *p.wanted != w {
		p.wanted = &w
		p.setWanted(w)
	}
}
