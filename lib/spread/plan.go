package spread

import (
	"cmp"
	"slices"
	"sort"
)

// Origin is the source of the first copy.
const Origin = ""

// Plan tells which member brings which piece into the deployment and into each
// region. It is immutable.
type Plan struct {
	self Member
	// members are all members by ID, self included, each of them once.
	members []Member
	// regions holds the members of each region in the same order.
	regions map[string][]Member
	// ranked lists all members for each piece, first the one that brings it into
	// the deployment; rankedNear is the same for the region of self.
	ranked, rankedNear [][]Member
	// nearIDs are the members of the region of self.
	nearIDs map[string]bool
}

// NewPlan returns the plan of an instance for a number of pieces. The members
// may include the instance, and may name one twice: an instance that has
// restarted is registered under its old and its new start for a while.
func NewPlan(self Member, members []Member, pieces int) *Plan {
	p := &Plan{self: self, regions: make(map[string][]Member), nearIDs: make(map[string]bool)}
	listed := map[string]bool{self.ID: true}
	p.members = append(p.members, self)
	for _, m := range members {
		if !listed[m.ID] {
			listed[m.ID] = true
			p.members = append(p.members, m)
		}
	}
	slices.SortFunc(p.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range p.members {
		p.regions[m.Region] = append(p.regions[m.Region], m)
	}
	near := p.regions[self.Region]
	for _, m := range near {
		p.nearIDs[m.ID] = true
	}
	p.ranked, p.rankedNear = rank(p.members, pieces), rank(near, pieces)
	return p
}

// rank orders the members for each piece. Each member is first for as many pieces
// as the others: by random weights, which change less with a member, some had
// half as much again, and a fetch took 4.5 s in place of 3.7 s.
func rank(members []Member, pieces int) [][]Member {
	ranked := make([][]Member, pieces)
	for piece := range ranked {
		first := piece % len(members)
		ranked[piece] = slices.Concat(members[first:], members[:first])
	}
	return ranked
}

// Self returns the instance that the plan is for.
func (p *Plan) Self() Member { return p.self }

// near reports whether a member is in the instance's own region.
func (p *Plan) near(id string) bool { return p.nearIDs[id] }

// Peers returns the members that the instance needs: all of its region, and
// those of other regions that have pieces which it brings into its own.
func (p *Plan) Peers() []string {
	needed := make(map[string]bool)
	for _, m := range p.regions[p.self.Region] {
		needed[m.ID] = true
	}
	for piece := range p.ranked {
		if p.rankedNear[piece][0].ID == p.self.ID {
			needed[p.ranked[piece][0].ID] = true
		}
	}
	delete(needed, p.self.ID)
	return sorted(needed)
}

// firstAlive returns the member that brings a piece into the deployment.
func (p *Plan) firstAlive(piece int, dead map[string]bool) string {
	for _, m := range p.ranked[piece] {
		if !dead[m.ID] {
			return m.ID
		}
	}
	return p.self.ID
}

func sorted(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	sort.Strings(list)
	return list
}

// turnAlive returns how many living members of a ranking bring a piece in before
// the instance does.
func (p *Plan) turnAlive(ranking []Member, dead map[string]bool) int {
	turn := 0
	for _, m := range ranking {
		if m.ID == p.self.ID {
			return turn
		}
		if !dead[m.ID] {
			turn++
		}
	}
	return turn
}

// Rank returns the position of this instance among the members and their
// number. Neighbours in this order are of different regions where possible.
func (p *Plan) Rank() (rank, count int) {
	names := make([]string, 0, len(p.regions))
	for name := range p.regions {
		names = append(names, name)
	}
	sort.Strings(names)
	for i := range p.members {
		for _, name := range names {
			region := p.regions[name]
			if i >= len(region) {
				continue
			}
			if region[i].ID == p.self.ID {
				return rank, len(p.members)
			}
			rank++
		}
	}
	return 0, len(p.members)
}
