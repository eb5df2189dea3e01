package serving

// MaxRank is the highest number of a rank. Ranks order requests by urgency; 0 is the most
// urgent one.
const MaxRank = 9

// Rank returns the rank of a request: that of its team if the team declares one, otherwise
// that of the route. team may be nil.
func Rank(route *Route, team *Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return route.Priority
}

// ranksDiffer reports whether two requests may have different ranks.
func (c *Config) ranksDiffer() bool {
	seen := make(map[int]bool)
	byRoute := len(c.Teams) == 0
	for i := range c.Teams {
		if c.Teams[i].HasPriority {
			seen[c.Teams[i].Priority] = true
		} else {
			byRoute = true
		}
	}
	for i := range c.Routes {
		if byRoute || c.Routes[i].Public {
			seen[c.Routes[i].Priority] = true
		}
	}
	return len(seen) > 1
}
