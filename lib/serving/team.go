package serving

// Team is a group of callers with its own API keys.
type Team struct {
	Name    string
	APIKeys []string
	// Priority is a rank from 0 to MaxRank that takes precedence over that of the route; 0 is
	// the highest.
	Priority int
	// HasPriority is true if a priority was declared.
	HasPriority bool
	// AllowedRegions are the regions whose backend servers may serve the team; empty for
	// all.
	AllowedRegions []string
}
