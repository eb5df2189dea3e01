package serving

// Team is a group of callers with keys of its own.
type Team struct {
	Name    string
	APIKeys []string
	// Priority ranks teams before the priority of the route; 0 is the highest.
	Priority int
	// HasPriority reports whether a priority was declared.
	HasPriority bool
}
