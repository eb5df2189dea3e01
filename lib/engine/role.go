package engine

// Role is the part of a request that an engine runs.
type Role string

const (
	// RoleMixed runs prefill and decode.
	RoleMixed Role = "mixed"
	// RolePrefill processes prompts and exports their KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode imports KV caches and continues streams.
	RoleDecode Role = "decode"
)
