package agent

import (
	"context"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// roleRetry is the least time between two orders to change the role.
const roleRetry = 2 * time.Second

// roles keeps the role that is declared for an engine and the one that it
// reports. It is safe for concurrent use.
type roles struct {
	mu       sync.Mutex
	declared model.Role
	// reported is empty until the engine's state was read.
	reported engine.Role
	ordered  time.Time
}

func (r *roles) declare(role model.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declared = role
}

func (r *roles) observe(role engine.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = role
}

// current returns the role that entries are told. An engine that is to leave
// the mixed role takes no requests from then on, and one that is to come back
// takes none until it reports that it is mixed.
func (r *roles) current() model.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.declared != model.RoleMixed || r.reported == "" {
		return r.declared
	}
	return model.ParseRole(string(r.reported))
}

// due returns the role to order now, if any.
func (r *roles) due(now time.Time) (role engine.Role, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := engine.Role(r.declared.String())
	if r.reported == "" || r.reported == wanted || now.Sub(r.ordered) < roleRetry {
		return "", false
	}
	return wanted, true
}

func (r *roles) orderedAt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordered = now
}

// keepRole brings the engine to its declared role until ctx ends. The order goes
// through the guard of the weights' orders once no request runs.
func (a *Agent) keepRole(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := a.cfg.Clock.Now()
		role, ok := a.roles.due(now)
		if !ok || a.gate.Running() > 0 {
			continue
		}
		// A refusal means that another order is outstanding or a load is near.
		if a.weights.SubmitOrder(engine.Order{Kind: engine.OrderRole, Role: role}) == nil {
			a.roles.orderedAt(now)
		}
	}
}
