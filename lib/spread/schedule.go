package spread

import "time"

// schedule tells when pieces are due at the origin: one after another, at the pace
// of its link, so that each of them spreads while the next one is on its way. All
// members have about the same one. While the origin is lost, they look for it one
// after another; if all asked at once when it returns, their pieces would share its
// link and arrive together at the end.
type schedule struct {
	pace time.Duration
	// began is when the first piece of order is due.
	began time.Time
	// positions are the places of the pieces in the order.
	positions map[int]int
	// round is the time in which each piece is due once more while the origin is
	// lost; zero while it is not.
	round time.Duration
}

const (
	// minRound bounds the time between two looks of a member for a lost origin.
	minRound = time.Second
	// minSlot is the least time in which a member may look.
	minSlot = 60 * time.Millisecond
)

func newSchedule(pace time.Duration, pieces []int, began time.Time) schedule {
	s := schedule{pace: pace}
	s.begin(pieces, began)
	return s
}

// begin orders the pieces anew.
func (s *schedule) begin(pieces []int, began time.Time) {
	s.began, s.positions = began, make(map[int]int, len(pieces))
	for i, number := range pieces {
		s.positions[number] = i
	}
}

// lost reports whether the origin did not answer lately.
func (s *schedule) lost() bool { return s.round > 0 }

// lose takes note that the origin does not answer.
func (s *schedule) lose(missing []int, now time.Time) {
	if s.lost() {
		return
	}
	s.begin(missing, now)
	s.round = max(minRound, time.Duration(len(missing))*s.pace)
}

// resume takes note that a piece came from the origin again.
func (s *schedule) resume(missing []int, now time.Time) {
	s.round = 0
	s.begin(missing, now)
}

// sinceDue returns how long a piece has been due; negative if it is not yet. While
// the origin is lost it is due for a short while in each round.
func (s *schedule) sinceDue(number int, now time.Time) time.Duration {
	since := now.Sub(s.began) - time.Duration(s.positions[number])*s.pace
	if !s.lost() || since < 0 {
		return since
	}
	if since %= s.round; since > max(s.pace, minSlot) {
		return -1
	}
	return since
}
