package spread

import "sort"

// Origin is the source of the first copy.
const Origin = ""

// Plan tells which member brings which piece into the deployment and into each
// region. It is immutable.
type Plan struct {
	self    Member
	members []Member
	// regions holds the members of each region in order.
	regions map[string][]Member
}

// NewPlan returns the plan of an instance among the members, which may include
// it.
func NewPlan(self Member, members []Member) *Plan {
	p := &Plan{self: self, regions: make(map[string][]Member)}
	listed := false
	for _, m := range members {
		listed = listed || m.ID == self.ID
		p.members = append(p.members, m)
	}
	if !listed {
		p.members = append(p.members, self)
	}
	sort.Slice(p.members, func(i, j int) bool { return p.members[i].ID < p.members[j].ID })
	for _, m := range p.members {
		p.regions[m.Region] = append(p.regions[m.Region], m)
	}
	return p
}

// Self returns the instance that the plan is for.
func (p *Plan) Self() Member { return p.self }

// near reports whether a member is in the instance's own region.
func (p *Plan) near(id string) bool {
	for _, m := range p.regions[p.self.Region] {
		if m.ID == id {
			return true
		}
	}
	return false
}

// Peers returns the members that the instance needs: all of its region, and
// those of other regions that have pieces which it brings into its own.
func (p *Plan) Peers(pieces int) []string {
	needed := make(map[string]bool)
	for _, m := range p.regions[p.self.Region] {
		needed[m.ID] = true
	}
	for piece := range pieces {
		if p.turn(p.regions[p.self.Region], piece) == 0 {
			needed[p.members[piece%len(p.members)].ID] = true
		}
	}
	delete(needed, p.self.ID)
	return sorted(needed)
}

// firstAlive returns the member that brings a piece into the deployment.
func (p *Plan) firstAlive(piece int, dead map[string]bool) string {
	for i := range p.members {
		if m := p.members[(piece+i)%len(p.members)]; !dead[m.ID] {
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

// turn returns how many members of a group bring a piece in before the
// instance does, or the size of the group if it is not part of it.
func (p *Plan) turn(group []Member, piece int) int {
	for i := range group {
		if group[(piece+i)%len(group)].ID == p.self.ID {
			return i
		}
	}
	return len(group)
}

// turnAlive is turn without the members that are known to be dead.
func (p *Plan) turnAlive(group []Member, piece int, dead map[string]bool) int {
	turn := 0
	for i := range group {
		m := group[(piece+i)%len(group)]
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
