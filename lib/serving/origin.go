package serving

import "time"

// Origin is where the weights of a model come from.
type Origin struct {
	// Address is an IP address and port.
	Address string
	// BytesPerSecond is the bandwidth of the origin's link in bytes per second.
	BytesPerSecond float64
	// MaxConnections bounds the connections to the origin from all instances.
	MaxConnections int
}

// transferTime returns the time that the origin's link takes for some bytes, zero
// if its rate is not known.
func (o *Origin) transferTime(bytes int) time.Duration {
	if o.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / o.BytesPerSecond * float64(time.Second))
}
