package replica

// maxReportedLayers bounds the number of layers that an engine's report may name. Larger
// numbers are not used.
const maxReportedLayers = 1 << 16

// layers returns the number of layers of a version that orders may be about. If the
// configuration doesn't name it, it is the number of layers up to which the engine has
// reported layers of the version, or one if it hasn't. That may be fewer than the model has,
// but not more, so that the first layers stand for at least the pieces that the engine's
// first layers need; no others are kept when layers are given up.
func (r *Replica) layers(state *EngineState, key checkKey) int {
	if declared := r.declaredLayers(); declared > 1 {
		return declared
	}
	known := 1
	if r.check != nil && r.checkKey == key {
		known = r.check.layers()
	}
	return max(known, state.reportedLayers(key.model, key.version))
}

// declaredLayers returns the number of layers that the configuration names, or zero. One
// counts as unknown.
func (r *Replica) declaredLayers() int {
	if r.config.Layers == nil {
		return 0
	}
	return r.config.Layers()
}

// held returns the layers of a pending version that the engine holds.
func (r *Replica) held(state *EngineState, p *pendingVersion) LayerRange {
	return state.held(p.model, p.version, r.layers(state, p.checkKey(state)))
}

// serves reports whether the engine holds all known layers of a target or of a newer version.
func (r *Replica) serves(state *EngineState, t target) bool {
	key := checkKey{model: t.model, version: state.Weights[t.model].Version, startUnixMilli: state.StartUnixMilli}
	return state.serves(t.model, t.version, r.layers(state, key))
}
