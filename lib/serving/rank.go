package serving

import (
	"maps"
	"slices"
)

// MaxRank is the highest number of a rank. Ranks order requests by urgency; 0 is the most
// urgent one.
const MaxRank = 9

// RankLevels maps declared ranks of any size to the range 0 to MaxRank, in their order. Ranks
// in the range keep their numbers unless a less urgent one needs them. Of more than MaxRank+1
// different ranks, the least urgent ones share MaxRank; negative ranks share 0.
func RankLevels(declared []int) map[int]int {
	ranks := make([]int, 0, len(declared))
	for _, rank := range declared {
		ranks = append(ranks, max(rank, 0))
	}
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	levels := make(map[int]int, len(ranks))
	level := MaxRank + 1
	for i, rank := range slices.Backward(ranks) {
		if i < MaxRank {
			level = min(rank, level-1)
		} else {
			level = MaxRank
		}
		levels[rank] = level
	}
	for _, rank := range declared {
		levels[rank] = levels[max(rank, 0)]
	}
	return levels
}

// Rank returns the rank of a request: that of its team if the team declares one, otherwise
// that of the route. team may be nil.
func Rank(route *Route, team *Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return route.Priority
}

// rankedServices returns the services to which two requests may have different ranks, and
// whether the ranks of teams alone differ, which holds for all services.
func (c *Config) rankedServices() (services map[string]bool, byTeams bool) {
	ofTeams := make(map[int]bool)
	byRoute := !c.RequiresKeys()
	for i := range c.Teams {
		if c.Teams[i].HasPriority {
			ofTeams[c.Teams[i].Priority] = true
		} else {
			byRoute = true
		}
	}
	ranks := make(map[string]map[int]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		if !byRoute && !r.Public {
			continue
		}
		for _, target := range r.Targets {
			if ranks[target.Service] == nil {
				ranks[target.Service] = maps.Clone(ofTeams)
			}
			ranks[target.Service][r.Priority] = true
		}
	}
	services = make(map[string]bool)
	for service, seen := range ranks {
		services[service] = len(seen) > 1
	}
	return services, len(ofTeams) > 1
}
