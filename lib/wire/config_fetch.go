package wire

// ConfigFetch asks for the configuration after a revision.
type ConfigFetch struct {
	After uint64 `msgpack:"a"`
}

// Type returns TypeConfigFetch.
func (*ConfigFetch) Type() Type { return TypeConfigFetch }
