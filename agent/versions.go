package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/agent/transfer"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// errNoManifest means that a load was asked for a version that was not fetched.
var errNoManifest = merry.New("manifest was not fetched")

// wanted is the version that the configuration places on this instance.
type wanted struct {
	weights model.Weights
	base    config.Model
	// adapter is the zero Model for a base model.
	adapter config.Model
}

// versions brings the instance to the version that the configuration wants:
// fetch, verify, wait for a permit, let running requests finish, load, admit.
type versions struct {
	agent  *Agent
	client *engine.Client
	guard  *engine.Guard
	woken  chan struct{}

	mu     sync.Mutex
	target *wanted
	// cancel ends the work on a target that was replaced.
	cancel context.CancelFunc
}

func newVersions(a *Agent, client *engine.Client) *versions {
	return &versions{
		agent:  a,
		client: client,
		guard:  engine.NewGuard(engine.GuardConfig{}),
		woken:  make(chan struct{}, 1),
	}
}

func (v *versions) wake() {
	select {
	case v.woken <- struct{}{}:
	default:
	}
}

// configured takes a configuration that has come in force.
func (v *versions) configured(view *config.View) {
	target := wantedOf(view.Config, v.agent.cfg.Pool, v.agent.cfg.Identity.Location.FailureDomain)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.target != nil && target != nil && v.target.weights == target.weights {
		return
	}
	v.target = target
	if v.cancel != nil {
		v.cancel()
	}
	v.wake()
}

func wantedOf(c *config.Config, pool string, domain model.FailureDomain) *wanted {
	p, ok := c.PlacementFor(pool, domain)
	if !ok {
		return nil
	}
	m, ok := c.FindModel(p.Model, p.Version)
	if !ok {
		return nil
	}
	loaded, ok := c.Weights(p.Model, p.Version)
	if !ok {
		return nil
	}
	if m.Base == "" {
		return &wanted{weights: loaded, base: m}
	}
	base, _ := c.FindModel(m.Base, m.BaseVersion)
	return &wanted{weights: loaded, base: base, adapter: m}
}

// run compares what is live with what is wanted until ctx ends.
func (v *versions) run(ctx context.Context) {
	ticker := time.NewTicker(v.agent.cfg.Reconcile)
	defer ticker.Stop()
	for {
		select {
		case <-v.woken:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		v.reconcile(ctx)
	}
}

func (v *versions) reconcile(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.mu.Lock()
	target := v.target
	v.cancel = cancel
	v.mu.Unlock()
	if target == nil || v.isLive(target.weights) {
		return
	}
	err := v.bring(ctx, target)
	if err != nil && ctx.Err() == nil && !errors.Is(err, transfer.ErrReplaced) {
		v.agent.cfg.Log.Log(eventlog.LoadFailed, "weights", target.weights, "err", err)
	}
}

func (v *versions) isLive(w model.Weights) bool {
	for _, live := range v.agent.gate.Live() {
		if live == w {
			return true
		}
	}
	return false
}

func (v *versions) bring(ctx context.Context, target *wanted) error {
	t := v.agent.transfer
	last := target.base
	if err := t.Fetch(ctx, target.base.Manifest, target.base.ManifestObject); err != nil {
		return err
	}
	if target.adapter.Name != "" {
		t.Keep(target.base.Manifest)
		last = target.adapter
		if err := t.Fetch(ctx, last.Manifest, last.ManifestObject); err != nil {
			return err
		}
	}
	t.Report(last.Manifest, wire.PhaseVerified)
	if err := v.permitted(ctx, last.Manifest); err != nil {
		return err
	}
	t.Report(last.Manifest, wire.PhaseLoading)
	if err := v.agent.gate.Switch(ctx, target.weights); err != nil {
		t.Report(last.Manifest, wire.PhaseFailed)
		return err
	}
	t.Report(last.Manifest, wire.PhaseLive)
	v.agent.cfg.Log.Log(eventlog.VersionLive, "weights", target.weights)
	return nil
}

// permitted waits until the instance may leave the version that it serves. An
// instance that serves nothing needs no permit: nobody loses capacity by it.
func (v *versions) permitted(ctx context.Context, manifest model.Digest) error {
	for len(v.agent.gate.Live()) > 0 {
		permit, err := v.agent.transfer.Permit(ctx, manifest)
		if err == nil && permit.Granted {
			return nil
		}
		wait := v.agent.cfg.Reconcile
		if permit.RetryMillis > 0 {
			wait = time.Duration(permit.RetryMillis) * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Load implements gate.Loader: it verifies the whole set, orders the engine to
// load it and returns what the engine reports afterwards.
func (v *versions) Load(ctx context.Context, to model.Weights) ([]model.Weights, error) {
	order, err := v.order(to)
	if err != nil {
		return v.loaded(ctx), err
	}
	result, err := engine.Run(ctx, v.agent.cfg.Clock, v.client, v.guard, order)
	if err != nil {
		// The order stays outstanding; the next load resolves it first.
		return nil, err
	}
	if result.Err != nil {
		return v.loaded(ctx), result.Err
	}
	return live(result.State), nil
}

func (v *versions) order(to model.Weights) (engine.Order, error) {
	order := engine.Order{Kind: engine.OrderLoad, Weights: to}
	var err error
	if order.Base, err = v.place(to.Base); err != nil {
		return order, err
	}
	if !to.Adapter.IsZero() {
		order.Adapter, err = v.place(to.Adapter)
	}
	return order, err
}

// place verifies a set of weights and names its files in order.
func (v *versions) place(manifest model.Digest) (engine.Place, error) {
	m := v.agent.transfer.Manifest(manifest)
	if m == nil {
		return engine.Place{}, merry.Wrap(errNoManifest, merry.AppendMessage(manifest.Short()))
	}
	if err := v.agent.transfer.Verify(manifest); err != nil {
		return engine.Place{}, err
	}
	place := engine.Place{Directory: v.agent.cfg.Staging}
	for _, c := range m.Chunks {
		place.Files = append(place.Files, weights.ChunkFile(c.Digest))
	}
	return place, nil
}

// loaded reads what the engine has loaded; without an answer nothing is served.
func (v *versions) loaded(ctx context.Context) []model.Weights {
	state, err := v.client.State(ctx)
	if err != nil || v.guard.Outstanding() {
		return nil
	}
	return live(state)
}

func live(s engine.State) []model.Weights {
	if s.Busy || s.Weights.IsZero() {
		return nil
	}
	return []model.Weights{s.Weights}
}
