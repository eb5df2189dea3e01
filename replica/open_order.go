package replica

// openOrder is an order that the engine may accept at any later time, as it hasn't
// responded to it.
type openOrder struct {
	// ordersAccepted is the number of accepted orders at which the engine may accept it, also
	// after a restart, since which it counts anew.
	ordersAccepted int64
	// sent is set if this process sent it. Otherwise an earlier process may have.
	sent bool
}
