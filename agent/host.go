package agent

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// errNotDeclared means that no declared model has a wanted manifest.
var errNotDeclared = merry.New("manifest is not declared")

// host does for the machine of the weights what concerns transfers, permits and
// requests.
type host struct{ agent *Agent }

var _ backend.Host = host{}

// configured takes a configuration that has come in force.
func (h host) configured(view *config.View) {
	a := h.agent
	a.cfg.Metrics.DeclareLabels(view.Config)
	if most := view.Config.Deployment.TransferShare; most > 0 {
		a.transfer.SetMaxLinkShare(most)
	}
	if p, ok := view.Config.FindPlacement(a.cfg.Pool, a.cfg.Identity.Location.FailureDomain); ok {
		a.roles.declare(p.Role)
		a.sessions.beat()
		h.applyPlacement(view.Config, p)
	}
}

// ranked takes the position of the instance in its pool, which may have changed
// because another instance came or left.
func (h host) ranked(rank int) {
	a := h.agent
	if a.rank.Swap(int64(rank)) == int64(rank) {
		return
	}
	if view := a.follower.Current(); view != nil {
		if p, ok := view.Config.FindPlacement(a.cfg.Pool, a.cfg.Identity.Location.FailureDomain); ok {
			h.applyPlacement(view.Config, p)
		}
	}
}

// applyPlacement wants the placed version if the placement is for this instance. Otherwise
// what is live stays in place.
func (h host) applyPlacement(c *config.Config, p config.Placement) {
	w, ok := c.Weights(p.Model, p.Version)
	if !ok {
		return
	}
	rank := h.agent.rank.Load()
	if p.Replicas > 0 && (rank == unknownRank || rank >= int64(p.Replicas)) {
		w = model.Weights{}
	}
	h.agent.weights.SetWanted(w)
}

// Fetch implements backend.Host.
func (h host) Fetch(ctx context.Context, w model.Weights) (backend.StagedWeights, error) {
	t := h.agent.transfer
	fetched := backend.StagedWeights{Weights: w}
	var err error
	if fetched.Base, err = h.fetch(ctx, w.Base); err != nil || w.Adapter.IsZero() {
		return fetched, err
	}
	t.Retain(w.Base)
	fetched.Adapter, err = h.fetch(ctx, w.Adapter)
	return fetched, err
}

// fetch brings one set of weights, verifies it and names its files in order.
func (h host) fetch(ctx context.Context, manifest model.Digest) (engine.StagedFiles, error) {
	t := h.agent.transfer
	declared, ok := h.declared(manifest)
	if !ok {
		return engine.StagedFiles{}, merry.Wrap(errNotDeclared, merry.AppendMessage(manifest.Short()))
	}
	metrics, before := h.agent.cfg.Metrics, t.Progress()
	defer func() { countBytes(metrics, declared.Name, before, t.Progress()) }()
	started := h.agent.fetching.since(manifest, h.agent.cfg.Clock.Now())
	if err := t.Fetch(ctx, manifest, declared.ManifestObject); err != nil {
		return engine.StagedFiles{}, err
	}
	if err := t.Verify(manifest); err != nil {
		return engine.StagedFiles{}, err
	}
	h.agent.fetching.done()
	metrics.RecordTransfer(declared.Name, h.agent.cfg.Clock.Now().Sub(started))
	place := engine.StagedFiles{Directory: h.agent.cfg.StagingDir}
	for _, c := range t.Manifest(manifest).Chunks {
		place.Files = append(place.Files, weights.ChunkFile(c.Digest))
	}
	return place, nil
}

func (h host) declared(manifest model.Digest) (config.Model, bool) {
	view := h.agent.follower.Current()
	if view == nil {
		return config.Model{}, false
	}
	for _, m := range view.Config.Models {
		if m.Manifest == manifest {
			return m, true
		}
	}
	return config.Model{}, false
}

// RequestPermit implements backend.Host.
func (h host) RequestPermit(ctx context.Context, w model.Weights) (bool, time.Duration, error) {
	permit, err := h.agent.transfer.RequestPermit(ctx, last(w))
	return permit.Granted, time.Duration(permit.RetryAfterMillis) * time.Millisecond, err
}

// Quiesce implements backend.Host.
func (h host) Quiesce(ctx context.Context) error { return h.agent.gate.Quiesce(ctx) }

// Serve implements backend.Host.
func (h host) Serve(w model.Weights) {
	if w.IsZero() {
		h.agent.gate.Serve(nil)
		return
	}
	h.agent.gate.Serve([]model.Weights{w})
}

// ReportPhase implements backend.Host.
func (h host) ReportPhase(w model.Weights, phase wire.Phase, err error) {
	log := h.agent.cfg.Log
	switch {
	case err != nil:
		log.Log(eventlog.LoadFailed, "weights", w, "err", err)
	case phase == wire.PhaseLive:
		log.Log(eventlog.VersionLive, "weights", w)
	}
	h.agent.transfer.ReportPhase(last(w), phase)
}

// OrderDone implements backend.Host. Beside loads the agent orders roles.
func (h host) OrderDone(r engine.Result) {
	if r.Err != nil {
		h.agent.cfg.Log.Log(eventlog.RoleNotSet, "role", string(r.Order.Role), "err", r.Err)
		return
	}
	h.agent.roles.observe(r.State.Role)
	h.agent.sessions.beat()
}

// last returns the manifest that is fetched last and stands for the weights in
// reports.
func last(w model.Weights) model.Digest {
	if w.Adapter.IsZero() {
		return w.Base
	}
	return w.Adapter
}
