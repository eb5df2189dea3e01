package peerlink

import "slices"

// reorderWindow is the number of messages by which one may be overtaken if its sender does
// not name its incarnation. A larger step back means that the sender has restarted.
const reorderWindow = 50

// maxEndedIncarnations is the number of earlier processes of a sender whose late messages are
// told from those of a new one.
const maxEndedIncarnations = 8

// SenderSequence orders the messages of one sender, over its restarts. The zero value has
// seen none. It is not safe for concurrent use.
type SenderSequence struct {
	// incarnation is the current process of the sender, ended are those before it, the latest
	// last. Senders of earlier releases name none, which is zero.
	incarnation uint64
	ended       []uint64
	// newest is the highest sequence number of the current process.
	newest uint64
}

// Advance reports whether a message is newer than those before, and records it. Another
// incarnation replaces the current one, unless it has been replaced itself: its message is
// late.
func (s *SenderSequence) Advance(incarnation, sequence uint64) bool {
	switch {
	case incarnation != s.incarnation && slices.Contains(s.ended, incarnation):
		return false
	case incarnation != s.incarnation:
		s.end()
	case sequence > s.newest:
	case incarnation != 0 || s.newest-sequence < reorderWindow:
		return false
	}
	s.incarnation, s.newest = incarnation, sequence
	return true
}

// end records that the current process has been replaced.
func (s *SenderSequence) end() {
	if s.incarnation == 0 {
		return
	}
	s.ended = append(s.ended[max(0, len(s.ended)-maxEndedIncarnations+1):len(s.ended):len(s.ended)], s.incarnation)
}
