package wire

// CacheFetch asks an agent for a snapshot, which comes with its next update.
type CacheFetch struct{}

// Type returns TypeCacheFetch.
func (*CacheFetch) Type() Type { return TypeCacheFetch }
