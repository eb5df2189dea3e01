package wire

import "github.com/auburnbend/auburnbend/lib/model"

// AttemptOf returns the attempt that an agent's message belongs to; ok is false
// for messages that concern the whole connection.
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
