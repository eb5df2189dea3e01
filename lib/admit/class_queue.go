package admit

import "slices"

// classQueue holds the waiting requests of one tenant and class in order of
// arrival.
type classQueue struct {
	flow
	priority int
	items    []*item
	waiting  int // items that are not done
}

// add appends an item. Items that were cancelled behind a waiting first one are
// dropped when they outnumber the others, which bounds the list.
func (c *classQueue) add(it *item) {
	const slack = 16
	if len(c.items) > 2*c.waiting+slack {
		c.items = slices.DeleteFunc(c.items, func(i *item) bool { return i.done })
	}
	c.items = append(c.items, it)
	c.waiting++
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
