package placement

import "time"

// meanTime is a mean of observed times: of all of them at first, and a smoothed one once there
// are as many as it is smoothed over.
type meanTime struct {
	mean time.Duration
	// observations is at most the number over which the mean is smoothed.
	observations int
}

// add records a time. over is the number of times over which the mean is smoothed.
func (m *meanTime) add(observed time.Duration, over int) {
	m.observations = min(m.observations+1, over)
	m.mean += (observed - m.mean) / time.Duration(m.observations)
}
