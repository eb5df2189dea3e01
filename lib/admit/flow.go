package admit

// flow is the state of one flow in start-time fair queueing (Goyal, Vin and
// Cheng, 1996). Tags are in tokens per unit of weight.
type flow struct {
	weight float64
	finish float64 // finish tag of the last request that was served
}

// start returns the start tag of the flow's first waiting request. A flow that
// was idle keeps at most burst of what it did not use.
func (f *flow) start(virtual, burst float64) float64 { return max(f.finish, virtual-burst) }

// serve charges a request and returns its start tag.
func (f *flow) serve(virtual, burst, tokens float64) float64 {
	s := f.start(virtual, burst)
	f.finish = s + tokens/f.weight
	return s
}
