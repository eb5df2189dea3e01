package wire

// ConfigDelta carries encoded revisions in order. Package lib/config decodes them.
type ConfigDelta struct {
	Revisions [][]byte `msgpack:"r"`
}

// Type returns TypeConfigDelta.
func (*ConfigDelta) Type() Type { return TypeConfigDelta }
