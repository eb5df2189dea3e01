package memory

// waiter is a call of Acquire that waits for room.
type waiter struct {
	holder string
	bytes  int64
	// granted has room for the one reservation, so that granting never blocks.
	granted chan *Reservation
}
