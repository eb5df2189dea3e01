package placement

import (
	"cmp"
	"time"
)

// candidate is a server that may get a request.
type candidate struct {
	*server
	estimate
	// score is the predicted time to the first response, with what is overdue, plus the
	// distance penalty.
	score time.Duration
}

// compare returns a negative number if c is the better choice. Of equally good
// servers, the one whose last placement is longest ago is better. The order of the
// directory must not decide: it comes from a map and stays until a listing changes, so
// that one server would get all requests of an idle service.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(
		cmp.Compare(c.score, other.score),
		cmp.Compare(c.usage.Running, other.usage.Running),
		c.lastPlacedAt.Compare(other.lastPlacedAt),
	)
}
