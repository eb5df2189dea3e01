package gate

import "github.com/auburnbend/auburnbend/lib/wire"

// Decision is the decision on a RequestStart.
type Decision uint8

const (
	// Ignore means to send nothing, because a copy of the attempt was admitted before
	// or a refusal cannot be remembered. It is the zero value.
	Ignore Decision = iota
	// Admit means to run the attempt.
	Admit
	// Refuse means to send the refusal.
	Refuse
)

// Admission is the result of Core.Admit.
type Admission struct {
	Decision Decision
	// Refusal is set if Decision is Refuse.
	Refusal *wire.RequestRefused
}
