package config

import (
	"fmt"

	"github.com/auburnbend/auburnbend/lib/model"
)

func (v *validator) deployment() {
	const object = "deployment"
	d := v.config.Deployment
	v.fraction(object, "time_weight", d.TimeWeight, true)
	v.intRange(object, "origin_copies", int64(d.OriginCopies), 1, maxOriginCopies)
	v.fraction(object, "transfer_share", d.TransferShare, false)
	v.durationRange(object, "claim_retention", d.ClaimRetention, minClaimRetention, maxClaimRetention)
}

func (v *validator) models() {
	duplicates(v, "model", v.config.Models, modelKey)
	for _, m := range v.config.Models {
		object := modelSection(m)
		v.name(object, "name", m.Name)
		v.version(object, "version", m.Version)
		if m.Manifest.IsZero() {
			v.addViolation(object, "manifest", m.Manifest, "the digest of a manifest, 64 hexadecimal digits")
		}
		if len(m.ManifestObject) > maxObjectNameBytes || !objectNamePattern.MatchString(m.ManifestObject) {
			v.addViolation(object, "manifest_object", m.ManifestObject, fmt.Sprintf("A-Z, a-z, 0-9, ., _, /, :, @, + and -, 1 to %d bytes, starting with a letter or digit", maxObjectNameBytes))
		}
		v.intRange(object, "bytes", m.Bytes, 1, maxModelBytes)
		v.base(object, m)
	}
}

func (v *validator) base(object string, m Model) {
	if m.Base == "" && m.BaseVersion == "" {
		return
	}
	base, ok := v.config.FindModel(m.Base, m.BaseVersion)
	if !ok {
		v.addViolation(object, "base", m.Base+" "+m.BaseVersion, "a declared model and version, or neither base nor base_version")
		return
	}
	if base.Base != "" {
		v.addViolation(object, "base", m.Base+" "+m.BaseVersion, "a base model, not an adapter")
	}
}

func (v *validator) placements() {
	duplicates(v, "placement", v.config.Placements, placementKey)
	for _, p := range v.config.Placements {
		object := placementSection(p)
		v.name(object, "pool", p.Pool)
		v.name(object, "failure_domain", string(p.FailureDomain))
		if _, ok := v.config.FindModel(p.Model, p.Version); !ok {
			v.addViolation(object, "model", p.Model+" "+p.Version, "a declared model and version")
		}
		if !p.Role.Valid() {
			v.addViolation(object, "role", p.Role, "mixed, prefill or decode")
		}
		v.intRange(object, "replicas", int64(p.Replicas), 0, maxReplicas)
		high := int64(maxReplicas)
		if p.Replicas > 0 {
			// At least one instance must be allowed to stop serving the old
			// version, or a rollout could never start.
			high = int64(p.Replicas) - 1
		}
		v.intRange(object, "min_live", int64(p.MinLive), 0, high)
	}
}

func (v *validator) services() {
	duplicates(v, "service", v.config.Services, serviceKey)
	for _, s := range v.config.Services {
		object := serviceSection(s)
		v.name(object, "name", string(s.Name))
		v.name(object, "pool", s.Pool)
		v.durationRange(object, "timeout", s.Timeout, minTimeout, maxTimeout)
		v.intRange(object, "max_body", s.MaxBodyBytes, 1, MaxBodyBytes)
		v.route(object, s)
	}
}

func (v *validator) route(object string, s Service) {
	switch s.Kind {
	case KindModel:
		v.modelRoute(object, s)
	case KindPlain:
		if s.Model != "" || s.Version != "" {
			v.addViolation(object, "model", s.Model+" "+s.Version, "no model and no version when kind is plain")
		}
		for _, p := range v.config.Placements {
			if p.Pool == s.Pool {
				v.addViolation(object, "pool", s.Pool, "a pool without placements when kind is plain")
				return
			}
		}
	default:
		v.addViolation(object, "kind", s.Kind, "model or plain")
	}
}

func (v *validator) modelRoute(object string, s Service) {
	if len(v.config.CandidateWeights(s)) == 0 {
		v.addViolation(object, "model", s.Model+" "+s.Version, "a declared model and version, or a model without a version")
		return
	}
	for _, p := range v.config.Placements {
		if p.Pool == s.Pool && p.Model == s.Model && p.Role == model.RoleMixed && (s.Version == "" || p.Version == s.Version) {
			return
		}
	}
	v.addViolation(object, "pool", s.Pool, fmt.Sprintf("a pool with a mixed placement of %s %s", s.Model, s.Version))
}

func (v *validator) tenants() {
	duplicates(v, "tenant", v.config.Tenants, tenantKey)
	for _, t := range v.config.Tenants {
		object := tenantSection(t)
		v.name(object, "name", string(t.Name))
		v.intRange(object, "share", int64(t.Share), 1, maxShare)
		v.intRange(object, "max_queued", int64(t.MaxQueued), 1, maxQueued)
		v.fraction(object, "retry_share", t.RetryShare, true)
	}
}

func (v *validator) classes() {
	duplicates(v, "class", v.config.Classes, classKey)
	for _, c := range v.config.Classes {
		object := classSection(c)
		v.name(object, "name", string(c.Name))
		v.intRange(object, "priority", int64(c.Priority), -maxPriority, maxPriority)
		v.durationRange(object, "first_token", c.FirstToken, minFirstToken, maxFirstToken)
	}
}
