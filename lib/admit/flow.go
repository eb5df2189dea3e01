package admit

// flow is the state of one flow in start-time fair queueing (Goyal, Vin and
// Cheng, 1996). Tags are in tokens per unit of weight.
type flow struct {
	weight    float64
	finishTag float64 // of the last served request
}

// startTag returns the start tag of the flow's first queued request. An idle
// flow keeps at most burst of its unused service.
func (f *flow) startTag(virtual, burst float64) float64 { return max(f.finishTag, virtual-burst) }

// charge accounts for a served request of the given cost in tokens and returns
// its start tag.
func (f *flow) charge(virtual, burst, tokens float64) float64 {
	s := f.startTag(virtual, burst)
	f.finishTag = s + tokens/f.weight
	return s
}
