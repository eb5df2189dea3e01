package serving

import "time"

// Origin is the server from which the weights of a model are fetched.
type Origin struct {
	// Address is an IP address and port.
	Address string
	// BytesPerSecond is the bandwidth of the origin's link; zero if unknown.
	BytesPerSecond float64
	// MaxConnections limits the connections from all instances together.
	MaxConnections int
}

// transferTime returns the time to transfer the given number of bytes over the origin's
// link, or zero if its bandwidth is unknown.
func (o *Origin) transferTime(bytes int) time.Duration {
	if o.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / o.BytesPerSecond * float64(time.Second))
}
