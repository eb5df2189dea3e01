package wire

import "github.com/auburnbend/auburnbend/lib/model"

// AttemptOf returns the attempt to which an agent's message belongs. ok is false for
// messages that do not belong to an attempt.
func AttemptOf(m Message) (id model.AttemptID, ok bool) {
	switch m := m.(type) {
	case *RequestRefused:
		return m.Attempt, true
	case *ResponseFrame:
		return m.Attempt, true
	case *ResponseEnd:
		return m.Attempt, true
	default:
		return "", false
	}
}
