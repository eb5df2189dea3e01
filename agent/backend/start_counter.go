package backend

import (
	"context"
	"encoding/binary"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
)

const (
	// fencingTable holds one row for each instance with its start counter.
	fencingTable = "fencing"
	// counterAttempts bounds the attempts to take a number. Two agents of one
	// instance seldom start together; a lost reply costs one attempt.
	counterAttempts = 8
)

// ErrNoEpoch means that no start number could be taken. The agent then starts
// with GuardConfig.Start = 0 and takes the number after the engine's.
var ErrNoEpoch = merry.New("no start number")

// NextEpoch takes the next start number of an instance, for
// engine.GuardConfig.Start. No two calls return the same number: a number whose
// write has an unknown outcome is left unused. The number is above floor, the
// start of the last order that the engine accepted: an agent that started while
// the store was down may have used numbers that the counter does not know.
func NextEpoch(ctx context.Context, table backing.TableService, instance model.InstanceID, floor uint64) (uint64, error) {
	var last error
	for range counterAttempts {
		w := backing.Write{Table: fencingTable, Key: string(instance), Condition: backing.IfAbsent}
		number := floor + 1
		row, err := table.Get(ctx, fencingTable, string(instance))
		switch {
		case err == nil && len(row.Value) == 8:
			number = max(binary.BigEndian.Uint64(row.Value), floor) + 1
			w.Condition, w.Version = backing.IfVersion, row.Version
		case err == nil:
			return 0, merry.Wrap(ErrNoEpoch, merry.AppendMessagef("row has %d bytes, want 8", len(row.Value)))
		case !errors.Is(err, backing.ErrNotFound):
			return 0, merry.Wrap(ErrNoEpoch, merry.WithCause(err))
		}
		w.Value = binary.BigEndian.AppendUint64(nil, number)
		err = table.Commit(ctx, backing.Transaction{Writes: []backing.Write{w}})
		if err == nil {
			return number, nil
		}
		last = err
		var conflict *backing.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, backing.ErrUnknown) {
			break
		}
	}
	return 0, merry.Wrap(ErrNoEpoch, merry.WithCause(last))
}
