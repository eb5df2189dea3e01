package memory

import "sync/atomic"

// Shared is a reservation with several users, such as a request and the queue of the
// connection that it is sent on. The last of them returns it. It is safe for concurrent use.
// The methods of a nil Shared do nothing.
type Shared struct {
	reservation *Reservation
	users       atomic.Int64
}

// Share returns the reservation with one user. The reservation must not be used otherwise.
func (r *Reservation) Share() *Shared {
	if r == nil {
		return nil
	}
	s := &Shared{reservation: r}
	s.users.Store(1)
	return s
}

// Hold adds a user and returns s. It must be called by a user.
func (s *Shared) Hold() *Shared {
	if s != nil {
		s.users.Add(1)
	}
	return s
}

// Release ends the use of one user. Each user must call it once.
func (s *Shared) Release() {
	if s != nil && s.users.Add(-1) == 0 {
		s.reservation.Release()
	}
}
