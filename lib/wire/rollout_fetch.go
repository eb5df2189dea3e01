package wire

// RolloutFetch asks an entry for what its trackers know.
type RolloutFetch struct{}

// Type returns TypeRolloutFetch.
func (*RolloutFetch) Type() Type { return TypeRolloutFetch }
