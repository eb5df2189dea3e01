package origin

// Stats counts the reads from a source.
type Stats struct {
	// Requests is the number of admitted range requests.
	Requests int64 `json:"requests"`
	// Throttled is the number of range requests refused by a rate limit.
	Throttled int64 `json:"throttled"`
	// Bytes is the number of bytes read.
	Bytes int64 `json:"bytes"`
}
