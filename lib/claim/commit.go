package claim

import (
	"context"
	"errors"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// commitEach commits independent writes in one transaction. A write whose
// condition fails is removed and the others are committed again, so that each
// write succeeds or fails on its own. It returns one error per write.
func commitEach(ctx context.Context, table backing.TableService, writes []backing.Write) []error {
	errs := make([]error, len(writes))
	remaining := make([]int, len(writes))
	for i := range remaining {
		remaining[i] = i
	}
	remainingWrites := writes
	for len(remaining) > 0 {
		err := classify(table.Commit(ctx, backing.Transaction{Writes: remainingWrites}))
		var conflict *backing.ConflictError
		if !errors.As(err, &conflict) || conflict.Index < 0 || conflict.Index >= len(remaining) {
			for _, i := range remaining {
				errs[i] = err
			}
			break
		}
		errs[remaining[conflict.Index]] = &backing.ConflictError{}
		remaining = append(remaining[:conflict.Index], remaining[conflict.Index+1:]...)
		remainingWrites = make([]backing.Write, len(remaining))
		for i, index := range remaining {
			remainingWrites[i] = writes[index]
		}
	}
	return errs
}
