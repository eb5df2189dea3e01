package wire

// RolloutFetch requests a RolloutReport from an entry.
type RolloutFetch struct{}

// Type returns TypeRolloutFetch.
func (*RolloutFetch) Type() Type { return TypeRolloutFetch }
