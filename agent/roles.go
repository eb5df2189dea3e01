package agent

import (
	"context"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// roleOrderInterval is the minimum time between two orders that change the role.
const roleOrderInterval = 2 * time.Second

// roles holds the role that the configuration declares for an engine and the role
// that the engine reports. It is safe for concurrent use.
type roles struct {
	mu       sync.Mutex
	declared model.Role
	// reported is empty until the engine's state has been read.
	reported    engine.Role
	lastOrderAt time.Time
}

func (r *roles) setDeclared(role model.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declared = role
}

func (r *roles) setReported(role engine.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = role
}

// current returns the role to report to entries, which send requests only to engines in
// the mixed role. It is mixed only while that role is both declared and reported by the
// engine, so that no request arrives during a change of role.
func (r *roles) current() model.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.declared != model.RoleMixed || r.reported == "" {
		return r.declared
	}
	return model.ParseRole(string(r.reported))
}

// pendingOrder returns the role that the engine should be ordered to take now, if any.
func (r *roles) pendingOrder(now time.Time) (role engine.Role, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := engine.Role(r.declared.String())
	if r.reported == "" || r.reported == wanted || now.Sub(r.lastOrderAt) < roleOrderInterval {
		return "", false
	}
	return wanted, true
}

func (r *roles) markOrdered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOrderAt = now
}

// enforceRole orders the engine to take its declared role, until ctx ends. It submits
// the order only while no request runs, and through the runner that also submits
// loads, so that two orders never overlap.
func (a *Agent) enforceRole(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := a.cfg.Clock.Now()
		role, ok := a.roles.pendingOrder(now)
		if !ok || a.gate.Running() > 0 {
			continue
		}
		// The order is refused if another order is outstanding, a load is imminent or recorded
		// weights are not confirmed yet.
		if a.weights.SubmitOrder(engine.Order{Kind: engine.OrderRole, Role: role}) == nil {
			a.roles.markOrdered(now)
		}
	}
}
