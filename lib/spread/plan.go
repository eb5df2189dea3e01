package spread

import (
	"cmp"
	"iter"
	"slices"
	"sort"
)

// Origin is the source ID of the origin.
const Origin = ""

// Plan determines which member fetches each piece from the origin, and which one
// fetches it into each region. It is immutable.
type Plan struct {
	self Member
	// pieces is the number of pieces.
	pieces int
	// members are all members sorted by ID, including self, without duplicates.
	members []Member
	// regions holds the members of each region in the same order.
	regions map[string][]Member
	// regionIDs are the members of self's region.
	regionIDs map[string]bool
}

// NewPlan returns the plan of an instance for a number of pieces. The members
// may include the instance and may contain duplicates, because a restarted
// instance is registered under both its old and its new start for a while.
func NewPlan(self Member, members []Member, pieces int) *Plan {
	p := &Plan{self: self, pieces: pieces, regions: make(map[string][]Member), regionIDs: make(map[string]bool)}
	seen := map[string]bool{self.ID: true}
	p.members = append(p.members, self)
	for _, m := range members {
		if !seen[m.ID] {
			seen[m.ID] = true
			p.members = append(p.members, m)
		}
	}
	slices.SortFunc(p.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range p.members {
		p.regions[m.Region] = append(p.regions[m.Region], m)
	}
	for _, m := range p.regions[self.Region] {
		p.regionIDs[m.ID] = true
	}
	return p
}

// ranked returns all members in their order for a piece, starting with the one
// responsible for fetching it from the origin.
func (p *Plan) ranked(piece int) iter.Seq[Member] { return rotated(p.members, piece) }

// rankedInRegion returns the members of the instance's region in their order for a piece.
func (p *Plan) rankedInRegion(piece int) iter.Seq[Member] {
	return rotated(p.regions[p.self.Region], piece)
}

// first returns the first one of members in their order for a piece.
func first(members []Member, piece int) Member { return members[piece%len(members)] }

// rotated orders the members for a piece by rotation, so that each member is first for
// the same number of pieces. With random weights fewer pieces would move when a member
// is added or removed, but some members got half as many pieces again as others, and a
// fetch took 4.5 s instead of 3.7 s.
func rotated(members []Member, piece int) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for i := range members {
			if !yield(members[(piece+i)%len(members)]) {
				return
			}
		}
	}
}

// Self returns the instance that the plan is for.
func (p *Plan) Self() Member { return p.self }

// inRegion reports whether a member is in the instance's region.
func (p *Plan) inRegion(id string) bool { return p.regionIDs[id] }

// Peers returns the members to which the instance connects: all of its region,
// and those of other regions that are responsible for pieces that it fetches
// into its own.
func (p *Plan) Peers() []string {
	needed := make(map[string]bool)
	for _, m := range p.regions[p.self.Region] {
		needed[m.ID] = true
	}
	for piece := range p.pieces {
		if first(p.regions[p.self.Region], piece).ID == p.self.ID {
			needed[first(p.members, piece).ID] = true
		}
	}
	delete(needed, p.self.ID)
	return sortedIDs(needed)
}

// responsible returns the reachable member that fetches a piece from the origin. Members
// with a narrow link do so only if there are no others.
func (p *Plan) responsible(piece int, unreachable, narrow map[string]bool) string {
	fallback := p.self.ID
	for m := range p.ranked(piece) {
		switch {
		case unreachable[m.ID]:
		case !narrow[m.ID]:
			return m.ID
		case fallback == p.self.ID:
			fallback = m.ID
		}
	}
	return fallback
}

func sortedIDs(set map[string]bool) []string {
	ids := make([]string, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// reachableMembersBefore returns the number of reachable members that precede the
// instance in a ranking. Members with a narrow link come after all others.
func (p *Plan) reachableMembersBefore(ranking iter.Seq[Member], unreachable, narrow map[string]bool) int {
	count, passedSelf := 0, false
	for m := range ranking {
		switch {
		case m.ID == p.self.ID && !narrow[p.self.ID]:
			return count
		case m.ID == p.self.ID:
			passedSelf = true
		case unreachable[m.ID]:
		case narrow[m.ID] == narrow[p.self.ID] && !passedSelf, narrow[p.self.ID] && !narrow[m.ID]:
			count++
		}
	}
	return count
}

// Rank returns the position of this instance among the members, and their
// number. Consecutive positions are in different regions where possible.
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
