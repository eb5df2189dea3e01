package serving

// Origin is where the weights of a model come from.
type Origin struct {
	// Address is an IP address and port.
	Address string
	// Rate is the bandwidth of the origin's link in bytes per second.
	Rate float64
	// MaxConnections bounds the connections to the origin from all instances.
	MaxConnections int
}
