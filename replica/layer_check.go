package replica

// layerState is what is known of a layer that the engine holds.
type layerState int

const (
	// layerUnknown means that the layer was taken and not verified since.
	layerUnknown layerState = iota
	// layerIntact means that its pieces were intact at the engine after it was taken.
	layerIntact
	// layerSuspect means that a piece was corrupt after the layer was taken, or has been
	// written again since, so that nothing shows what the engine took.
	layerSuspect
)

// layerCheck is what is known of the layers of one version that an engine holds. A
// corrupt staged piece stays corrupt until it is written again, so a piece that is
// intact after an order was accepted, and was not written meanwhile, was intact when
// the engine took it.
type layerCheck struct {
	states []layerState
	// rewritten marks the pieces that were written while the engine may already have
	// taken them.
	rewritten []bool
	// countKnown is set if the model has no more layers than these: the configuration says
	// so, or the engine has answered an order for all layers. The engine may have reported
	// only a part of them otherwise.
	countKnown bool
	// unrepairable is set once it has been logged that the engine can't take its only layer
	// again.
	unrepairable bool
	// taking are the layers of the last accepted order.
	taking LayerRange
	// maxOrders is the highest number of accepted orders that the orders of this process
	// explain.
	maxOrders int64
}

func newLayerCheck(layers, pieces int) *layerCheck {
	return &layerCheck{states: make([]layerState, layers), rewritten: make([]bool, pieces)}
}

// withLayers returns what is known of the pieces for another number of layers. Pieces of
// suspect layers count as written since they were taken.
func (c *layerCheck) withLayers(layers int) *layerCheck {
	next := newLayerCheck(layers, len(c.rewritten))
	next.maxOrders, next.countKnown = c.maxOrders, c.countKnown
	if c.taking.Len() > 0 {
		next.taking = LayerRange{To: layers}
	}
	copy(next.rewritten, c.rewritten)
	for layer, state := range c.states {
		from, to := c.piecesOf(layer)
		for piece := from; piece < to && state == layerSuspect; piece++ {
			next.rewritten[piece] = true
		}
	}
	return next
}

func (c *layerCheck) layers() int { return len(c.states) }

// piecesOf returns the range of pieces that a layer needs.
func (c *layerCheck) piecesOf(layer int) (from, to int) {
	return piecesOf(layer, len(c.states), len(c.rewritten))
}

// needs reports whether one of the layers needs a piece.
func (c *layerCheck) needs(held LayerRange, piece int) bool {
	for layer := held.From; layer < held.To; layer++ {
		if from, to := c.piecesOf(layer); from <= piece && piece < to {
			return true
		}
	}
	return false
}

// unknownPieces marks the pieces of the layers of a range that are still to be verified.
func (c *layerCheck) unknownPieces(layers LayerRange) []bool {
	return c.pieces(layers, func(layer int) bool { return c.states[layer] == layerUnknown })
}

// piecesToTake marks the pieces of the layers that an engine takes with an order for
// target.
func (c *layerCheck) piecesToTake(held, target LayerRange) []bool {
	kept := held.Intersect(target)
	return c.pieces(target, func(layer int) bool { return !kept.Contains(layer) })
}

// pieces marks the pieces that the included layers of a range need.
func (c *layerCheck) pieces(layers LayerRange, include func(layer int) bool) []bool {
	marked := make([]bool, len(c.rewritten))
	for layer := layers.From; layer < layers.To; layer++ {
		if include(layer) {
			from, to := c.piecesOf(layer)
			for piece := from; piece < to; piece++ {
				marked[piece] = true
			}
		}
	}
	return marked
}

// pieceWritten records that a piece was written. taken is set if the engine holds, or may
// be taking, the layers that need it.
func (c *layerCheck) pieceWritten(piece int, taken bool) {
	if taken {
		c.rewritten[piece] = true
	}
}

// dropped records the layers that the engine holds; the others have to be taken again.
func (c *layerCheck) dropped(held LayerRange) {
	for layer := range c.states {
		if !held.Contains(layer) {
			c.states[layer] = layerUnknown
		}
	}
}

// ordered records an accepted order for the layers of target, of which the engine held
// kept.
func (c *layerCheck) ordered(target, kept LayerRange) {
	c.taking = target
	for layer := target.From; layer < target.To; layer++ {
		if !kept.Contains(layer) {
			c.states[layer] = layerUnknown
			from, to := c.piecesOf(layer)
			clear(c.rewritten[from:to])
		}
	}
	// A piece that a kept layer shares keeps its mark: that layer was not taken again.
	for layer := kept.From; layer < kept.To; layer++ {
		if c.states[layer] == layerUnknown {
			c.states[layer] = layerSuspect
		}
	}
}

// suspectAll records that the engine has accepted an order that this process didn't send,
// and may have taken any layer before a piece was written.
func (c *layerCheck) suspectAll() {
	for layer := range c.states {
		c.states[layer] = layerSuspect
	}
}

// verified records which pieces were intact at the engine, all read since the last order
// was accepted.
func (c *layerCheck) verified(held LayerRange, intact []bool) {
	for layer := held.From; layer < held.To; layer++ {
		if c.states[layer] != layerUnknown {
			continue
		}
		c.states[layer] = layerIntact
		from, to := c.piecesOf(layer)
		for piece := from; piece < to; piece++ {
			if !intact[piece] || c.rewritten[piece] {
				c.states[layer] = layerSuspect
			}
		}
	}
}

// unknownLayer reports whether a held layer is still to be verified.
func (c *layerCheck) unknownLayer(held LayerRange) bool {
	for layer := held.From; layer < held.To; layer++ {
		if c.states[layer] == layerUnknown {
			return true
		}
	}
	return false
}

// suspectLayers returns the number of held layers that the engine has to take again.
func (c *layerCheck) suspectLayers(held LayerRange) int {
	count := 0
	for layer := held.From; layer < held.To; layer++ {
		if c.states[layer] == layerSuspect {
			count++
		}
	}
	return count
}

// next returns the layers that the engine must be ordered to hold next, and false if it
// holds all of them intact. An engine takes only layers that it doesn't hold yet, so it
// has to give up suspect layers before it takes them again. No layer is given up without
// need.
func (c *layerCheck) next(held LayerRange) (LayerRange, bool) {
	all := LayerRange{To: len(c.states)}
	intactTo := held.From
	for held.Contains(intactTo) && c.states[intactTo] == layerIntact {
		intactTo++
	}
	switch {
	case held.Len() == 0:
		return all, true
	case held == all && intactTo == held.To:
		return LayerRange{}, false
	case held.From == 0 && intactTo == held.To:
		return all, true
	case held.From == 0 && intactTo > 0:
		return LayerRange{To: intactTo}, true
	case held.From > 0:
		// The engine gives up all that it holds.
		return LayerRange{To: held.From}, true
	case len(c.states) == 1:
		// The only layer can't be given up; the engine keeps it until its next version or
		// restart, or until more layers are known. Its pieces are not written again: an agent
		// that starts meanwhile would take them for those that the engine took.
		return LayerRange{}, false
	case held.Len() == 1:
		// The first layer is suspect. The engine gives it up for the last one.
		return LayerRange{From: all.To - 1, To: all.To}, true
	default:
		// The first layer is suspect. The engine keeps only its last one.
		return LayerRange{From: held.To - 1, To: held.To}, true
	}
}

// givesUpAll reports whether all layers of target are given up again by the next order, so
// that their pieces needn't be intact. next keeps no layers without the first one.
func (c *layerCheck) givesUpAll(target LayerRange) bool { return target.From > 0 }

// reduce returns fewer layers to order if a piece that all layers need is corrupt and must
// not be written: those whose pieces come before it, or else fewer than the engine holds,
// or one that is given up again. An engine doesn't count an order for what it holds.
func (c *layerCheck) reduce(held LayerRange, corrupt int) LayerRange {
	start := 0
	if held.From == 0 {
		start = held.To
	}
	end := start
	for end < len(c.states) {
		if _, to := c.piecesOf(end); to > corrupt {
			break
		}
		end++
	}
	last := len(c.states) - 1
	switch {
	case end > start:
		return LayerRange{To: end}
	case held.From == 0 && held.Len() > 1:
		return LayerRange{To: held.To - 1}
	case held.Contains(last):
		last--
	}
	return LayerRange{From: last, To: last + 1}
}

// overlapsEvidence reports whether the layers of target share a piece with the first layer
// that isn't known to be intact.
func (c *layerCheck) overlapsEvidence(held, target LayerRange) bool {
	layer := 0
	if held.From == 0 && held.Len() > 0 && c.states[0] == layerIntact {
		layer = held.To
	}
	from, to := c.piecesOf(layer)
	for piece := from; piece < to; piece++ {
		if c.needs(target, piece) {
			return true
		}
	}
	return false
}

// intact reports whether the engine holds all layers and all of them are intact.
func (c *layerCheck) intact(held LayerRange) bool {
	if held != (LayerRange{To: len(c.states)}) {
		return false
	}
	for _, s := range c.states {
		if s != layerIntact {
			return false
		}
	}
	return true
}
