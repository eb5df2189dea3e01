package gate

import "github.com/auburnbend/auburnbend/lib/wire"

// Decision is what becomes of a RequestStart.
type Decision uint8

const (
	// Ignore sends nothing: a copy of the attempt was admitted before, or the
	// gate cannot prove anything. It is the zero value.
	Ignore Decision = iota
	// Admit runs the attempt.
	Admit
	// Refuse sends the refusal.
	Refuse
)

// Admission is the answer to a RequestStart.
type Admission struct {
	Decision Decision
	// Refusal is set for Refuse.
	Refusal *wire.RequestRefused
}
