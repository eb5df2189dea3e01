package admit

// classQueue holds the waiting requests of one tenant and class in order of
// arrival.
type classQueue struct {
	flow
	priority int
	items    []*item
}

// head returns the first waiting item, or nil.
func (c *classQueue) head() *item {
	for len(c.items) > 0 && c.items[0].done {
		c.items[0] = nil
		c.items = c.items[1:]
	}
	if len(c.items) == 0 {
		return nil
	}
	return c.items[0]
}
