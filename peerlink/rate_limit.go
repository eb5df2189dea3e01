package peerlink

import "time"

// RateLimit is the request rate that a backend server accepts from all entries
// together.
type RateLimit struct {
	Server ServerKey `msgpack:"k"`
	// PerSecond is the limit in requests per second, or zero if the server has lifted
	// it.
	PerSecond float64 `msgpack:"r"`
	// AgeMillis is the time since the server stated the limit, in milliseconds.
	AgeMillis int64 `msgpack:"a"`
}

// maxLimitAge is the age that replaces an invalid or larger one. Entries repeat limits for
// less time.
const maxLimitAge = time.Hour

// StatedAt returns when the server stated the limit. It is not in the future.
func (l *RateLimit) StatedAt(now time.Time) time.Time {
	if l.AgeMillis < 0 || l.AgeMillis > maxLimitAge.Milliseconds() {
		return now.Add(-maxLimitAge)
	}
	return now.Add(-time.Duration(l.AgeMillis) * time.Millisecond)
}
