package wire

// ConfigFetch requests the revisions of the configuration after the given one.
type ConfigFetch struct {
	After uint64 `msgpack:"a"`
}

// Type returns TypeConfigFetch.
func (*ConfigFetch) Type() Type { return TypeConfigFetch }
