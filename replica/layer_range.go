package replica

// LayerRange is a range of layers of a model; To is exclusive. The zero value is empty.
type LayerRange struct{ From, To int }

// Len returns the number of layers.
func (r LayerRange) Len() int { return r.To - r.From }

// Contains reports whether a layer is in the range.
func (r LayerRange) Contains(layer int) bool { return r.From <= layer && layer < r.To }

// Intersect returns the layers that are in both ranges.
func (r LayerRange) Intersect(o LayerRange) LayerRange {
	common := LayerRange{From: max(r.From, o.From), To: min(r.To, o.To)}
	if common.From >= common.To {
		return LayerRange{}
	}
	return common
}

// piecesOf returns the range of pieces that a layer needs, of a model with the given
// numbers of layers and pieces. Neighbouring layers may share a piece.
func piecesOf(layer, layers, pieces int) (from, to int) {
	return layer * pieces / layers, ((layer+1)*pieces + layers - 1) / layers
}
