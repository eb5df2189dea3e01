package admit

import "slices"

// classQueue is the FIFO queue of one tenant's requests in one class.
type classQueue struct {
	flow
	priority int
	items    []*item
	queued   int // items that are not done
}

// add appends an item. Cancelled items behind the head stay in the slice until
// they outnumber the queued ones; then they are removed, which bounds its
// length.
func (c *classQueue) add(it *item) {
	const slack = 16
	if len(c.items) > 2*c.queued+slack {
		c.items = slices.DeleteFunc(c.items, func(i *item) bool { return i.done })
	}
	c.items = append(c.items, it)
	c.queued++
}

// head returns the first queued item, or nil.
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
