package wire

// CacheFetch requests a snapshot of the prefix cache from an agent. The agent sends it
// in place of its next CacheUpdate.
type CacheFetch struct{}

// Type returns TypeCacheFetch.
func (*CacheFetch) Type() Type { return TypeCacheFetch }
