package config

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// OperationState is the outcome of an operation.
type OperationState uint8

const (
	// OperationNotFound means that the operation ID is not recorded. A write
	// whose reply was lost may still take effect, until Store.Operation is called
	// with settle.
	OperationNotFound OperationState = iota
	// OperationApplied means that the change was accepted.
	OperationApplied
	// OperationAbandoned means that the change was not accepted and never will
	// be.
	OperationAbandoned
)

// String returns the name of the state as shown to operators.
func (s OperationState) String() string {
	switch s {
	case OperationApplied:
		return "applied"
	case OperationAbandoned:
		return "abandoned"
	default:
		return "not_found"
	}
}

// Operation is the recorded outcome of an operation ID.
type Operation struct {
	State OperationState
	// Head is the revision that an applied operation created.
	Head Head
	Time time.Time
}

// operationRow is the stored encoding of an Operation.
type operationRow struct {
	Head       Head  `msgpack:"h"`
	UnixMillis int64 `msgpack:"t"`
	Abandoned  bool  `msgpack:"a"`
}

func decodeOperation(data []byte) (Operation, error) {
	var row operationRow
	if err := msgstream.Unmarshal(data, &row); err != nil {
		return Operation{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	op := Operation{State: OperationApplied, Head: row.Head, Time: time.UnixMilli(row.UnixMillis).UTC()}
	if row.Abandoned {
		op.State = OperationAbandoned
	}
	return op, nil
}
