package memory

// Reservation is the right to hold bytes. It is not safe for concurrent use. The methods of a
// nil Reservation do nothing.
type Reservation struct {
	budget *Budget
	holder string
	bytes  int64
}

// Shrink returns what exceeds a number of bytes to the budget.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil || bytes >= r.bytes {
		return
	}
	surplus := r.bytes - bytes
	r.bytes = bytes
	r.budget.free(r.holder, surplus)
}

// Release returns all bytes to the budget. Further calls do nothing.
func (r *Reservation) Release() { r.Shrink(0) }
