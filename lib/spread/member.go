package spread

// Member is an instance that takes part in a distribution.
type Member struct {
	// ID identifies the member on all instances and determines the order of
	// members.
	ID string
	// Region is the area within which transfers are cheap.
	Region string
}
