package watch

import "cmp"

// Position identifies a state of a store. A store that is restored from an earlier copy
// enters the next era and gives out revisions again that stood for other states before.
type Position struct {
	// Era is the number of times that the store was restored; 0 if it does not tell.
	Era int64
	// Revision is the newest transaction; negative if nothing has been read.
	Revision int64
}

// Compare returns a negative number if p is an earlier state than other, zero if they are
// the same and a positive number if p is a later one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}
