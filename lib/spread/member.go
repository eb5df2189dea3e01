package spread

// Member is an instance that takes part in a distribution.
type Member struct {
	// ID orders the members; it is the same everywhere.
	ID string
	// Region is where bytes are cheap.
	Region string
}
