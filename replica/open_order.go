package replica

// openOrder is an order that the engine may accept at any later time, as it hasn't
// responded to it.
type openOrder struct {
	// stamp identifies the state in which the engine may accept it.
	stamp loadStamp
	// sent is set if this process sent it. Otherwise an earlier process may have.
	sent bool
}
