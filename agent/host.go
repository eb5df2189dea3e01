package agent

import (
	"context"
	"errors"
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

// errNotDeclared means that the manifest to fetch belongs to no model of the current
// configuration.
var errNotDeclared = merry.New("manifest belongs to no declared model")

// host implements backend.Host with the agent's transfer service and gate.
type host struct{ agent *Agent }

var _ backend.Host = host{}

// applyConfig applies a new configuration to the agent.
func (h host) applyConfig(view *config.View) {
	a := h.agent
	a.cfg.Metrics.DeclareLabels(view.Config)
	if share := view.Config.Deployment.TransferShare; share > 0 {
		a.transfer.SetMaxLinkShare(share)
	}
	if p, ok := view.Config.FindPlacement(a.cfg.Pool, a.cfg.Identity.Location.FailureDomain); ok {
		a.roles.setDeclared(p.Role)
		a.sessions.sendHeartbeats()
	}
	a.placement.apply(a.cfg.Clock.Now())
}

// declaredPlacement returns the weights that the configuration in force places in the
// pool and on how many instances.
func (h host) declaredPlacement() (w model.Weights, replicas int, ok bool) {
	view := h.agent.follower.Current()
	if view == nil {
		return model.Weights{}, 0, false
	}
	p, ok := view.Config.FindPlacement(h.agent.cfg.Pool, h.agent.cfg.Identity.Location.FailureDomain)
	if !ok {
		return model.Weights{}, 0, false
	}
	w, ok = view.Config.Weights(p.Model, p.Version)
	return w, p.Replicas, ok
}

// Fetch implements backend.Host.
func (h host) Fetch(ctx context.Context, w model.Weights) (backend.StagedWeights, error) {
	t := h.agent.transfer
	staged := backend.StagedWeights{Weights: w}
	var err error
	if staged.Base, staged.BaseSeal, err = h.fetch(ctx, w.Base); err != nil || w.Adapter.IsZero() {
		return staged, err
	}
	t.Retain(w.Base)
	staged.Adapter, staged.AdapterSeal, err = h.fetch(ctx, w.Adapter)
	return staged, err
}

// VerifyStaged implements backend.Host.
func (h host) VerifyStaged(ctx context.Context, f backend.StagedWeights) (backend.StagedWeights, error) {
	var err error
	if f.BaseSeal, err = h.agent.transfer.Seal(ctx, f.Weights.Base); err != nil || f.Weights.Adapter.IsZero() {
		return f, err
	}
	f.AdapterSeal, err = h.agent.transfer.Seal(ctx, f.Weights.Adapter)
	return f, err
}

// VerifyLoaded implements backend.Host.
func (h host) VerifyLoaded(ctx context.Context, f backend.StagedWeights) error {
	t := h.agent.transfer
	if err := t.CheckSeal(ctx, f.Weights.Base, f.BaseSeal); err != nil || f.Weights.Adapter.IsZero() {
		return err
	}
	return t.CheckSeal(ctx, f.Weights.Adapter, f.AdapterSeal)
}

// fetch transfers the chunks of one manifest, verifies them, and returns their files
// in the order of the manifest and their seal.
func (h host) fetch(ctx context.Context, manifest model.Digest) (engine.StagedFiles, weights.Seal, error) {
	t := h.agent.transfer
	declared, ok := h.findModel(manifest)
	if !ok {
		return engine.StagedFiles{}, weights.Seal{}, merry.Wrap(errNotDeclared, merry.AppendMessage(manifest.Short()))
	}
	metrics, before := h.agent.cfg.Metrics, t.Progress()
	defer func() { recordBytes(metrics, declared.Name, before, t.Progress()) }()
	started := h.agent.fetchTimer.start(manifest, h.agent.cfg.Clock.Now())
	if err := t.Fetch(ctx, manifest, declared.ManifestObject); err != nil {
		return engine.StagedFiles{}, weights.Seal{}, err
	}
	seal, err := t.Seal(ctx, manifest)
	if err != nil {
		return engine.StagedFiles{}, weights.Seal{}, err
	}
	h.agent.fetchTimer.reset()
	metrics.RecordTransfer(declared.Name, h.agent.cfg.Clock.Now().Sub(started))
	files := engine.StagedFiles{Directory: h.agent.cfg.StagingDir}
	for _, c := range t.Manifest(manifest).Chunks {
		files.Files = append(files.Files, weights.ChunkFile(c.Digest))
	}
	return files, seal, nil
}

// findModel returns the model of the current configuration that has the manifest.
func (h host) findModel(manifest model.Digest) (config.Model, bool) {
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
func (h host) RequestPermit(ctx context.Context, w model.Weights) (backend.Permit, error) {
	permit, err := h.agent.transfer.RequestPermit(ctx, lastManifest(w))
	return backend.Permit{
		Granted: permit.Granted,
		TTL:     time.Duration(permit.TTLMillis) * time.Millisecond,
		Retry:   time.Duration(permit.RetryAfterMillis) * time.Millisecond,
	}, err
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

// Abort implements backend.Host.
func (h host) Abort(restarted bool) {
	if !restarted {
		h.agent.cfg.Log.Log(eventlog.WeightsChanged)
	}
	h.agent.gate.Abort(!restarted)
}

// ReportPhase implements backend.Host.
func (h host) ReportPhase(w model.Weights, phase wire.Phase, err error) {
	log := h.agent.cfg.Log
	switch {
	case errors.Is(err, backend.ErrLoadUnverified):
		log.Log(eventlog.LoadUnverified, "weights", w, "err", err)
	case err != nil:
		log.Log(eventlog.LoadFailed, "weights", w, "err", err)
	case phase == wire.PhaseLive:
		log.Log(eventlog.VersionLive, "weights", w)
	}
	h.agent.transfer.ReportPhase(lastManifest(w), phase)
}

// Record implements backend.Host. Without a record, the next agent of the instance makes
// the engine load its weights again.
func (h host) Record(r backend.LoadRecord) {
	h.agent.live.Store(&r)
	if err := h.agent.loadRecord.write(r); err != nil {
		h.agent.cfg.Log.Log(eventlog.LoadNotRecorded, "weights", r.Weights, "err", err)
	}
}

// OrderDone implements backend.Host. Changes of role are the only orders that the
// agent submits directly.
func (h host) OrderDone(r engine.Result) {
	if r.Err != nil {
		h.agent.cfg.Log.Log(eventlog.RoleNotSet, "role", string(r.Order.Role), "err", r.Err)
		return
	}
	h.agent.roles.setReported(r.State.Role)
	h.agent.sessions.sendHeartbeats()
}

// lastManifest returns the manifest that is fetched last. It identifies the weights in
// permit requests and phase reports.
func lastManifest(w model.Weights) model.Digest {
	if w.Adapter.IsZero() {
		return w.Base
	}
	return w.Adapter
}
