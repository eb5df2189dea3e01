package origin

// Stats counts what was read from a source.
type Stats struct {
	// Requests counts admitted range requests.
	Requests int64 `json:"requests"`
	// Throttled counts refused range requests.
	Throttled int64 `json:"throttled"`
	// Bytes counts the bytes that readers took.
	Bytes int64 `json:"bytes"`
}
