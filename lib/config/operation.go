package config

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// OperationState says what became of an operation id.
type OperationState uint8

const (
	// OperationNotFound means that no revision with the id was seen. A write
	// whose reply was lost may still take effect, unless the id was settled.
	OperationNotFound OperationState = iota
	// OperationApplied means that the change was accepted.
	OperationApplied
	// OperationAbandoned means that the change was not and will never be
	// accepted.
	OperationAbandoned
)

// String returns the name that tables show.
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

// Operation is what the store knows about an operation id.
type Operation struct {
	State OperationState
	// Head is the accepted revision of an applied operation.
	Head Head
	Time time.Time
}

// operationRow is the stored form of an Operation.
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
