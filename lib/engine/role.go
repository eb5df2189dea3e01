package engine

// Role says which part of a request an engine runs.
type Role string

const (
	// RoleMixed runs prefill and decode.
	RoleMixed Role = "mixed"
	// RolePrefill computes prompts and exports their KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode imports KV cache and continues streams.
	RoleDecode Role = "decode"
)
