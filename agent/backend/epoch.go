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
	// fencingTable has one row per instance, which holds its epoch counter.
	fencingTable = "fencing"
	// maxEpochAttempts bounds the attempts to allocate an epoch. A conflict with
	// another agent of the instance or a lost reply costs one attempt; both are rare.
	maxEpochAttempts = 8
)

// ErrNoEpoch means that no epoch could be allocated. The agent then starts with
// engine.GuardConfig.Epoch = 0 and uses the epoch that follows the engine's.
var ErrNoEpoch = merry.New("no fencing epoch allocated")

// NextEpoch allocates the next epoch of an instance, for engine.GuardConfig.Epoch. No
// two calls return the same epoch: if the outcome of a write is unknown, its epoch is
// not used. The result is greater than floor, the epoch of the last order that the
// engine accepted, because an agent that started while the store was down may have
// used epochs that are not recorded in the counter. It returns ErrNoEpoch on failure.
func NextEpoch(ctx context.Context, table backing.TableService, instance model.InstanceID, floor uint64) (uint64, error) {
	var lastErr error
	for range maxEpochAttempts {
		w := backing.Write{Table: fencingTable, Key: string(instance), Condition: backing.IfAbsent}
		epoch := floor + 1
		row, err := table.Get(ctx, fencingTable, string(instance))
		switch {
		case err == nil && len(row.Value) == 8:
			epoch = max(binary.BigEndian.Uint64(row.Value), floor) + 1
			w.Condition, w.Version = backing.IfVersion, row.Version
		case err == nil:
			return 0, merry.Wrap(ErrNoEpoch, merry.AppendMessagef("counter row has %d bytes, want 8", len(row.Value)))
		case !errors.Is(err, backing.ErrNotFound):
			return 0, merry.Wrap(ErrNoEpoch, merry.WithCause(err))
		}
		w.Value = binary.BigEndian.AppendUint64(nil, epoch)
		err = table.Commit(ctx, backing.Transaction{Writes: []backing.Write{w}})
		if err == nil {
			return epoch, nil
		}
		lastErr = err
		var conflict *backing.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, backing.ErrUnknown) {
			break
		}
	}
	return 0, merry.Wrap(ErrNoEpoch, merry.WithCause(lastErr))
}
