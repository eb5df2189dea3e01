package directory

// EndedCount returns the number of removed rows that are remembered.
func (d *Directory) EndedCount() int { return len(d.ended) }
