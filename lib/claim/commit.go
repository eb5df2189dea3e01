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
	left := make([]int, len(writes))
	for i := range left {
		left[i] = i
	}
	rest := writes
	for len(left) > 0 {
		err := classify(table.Commit(ctx, backing.Transaction{Writes: rest}))
		var conflict *backing.ConflictError
		if !errors.As(err, &conflict) || conflict.Index < 0 || conflict.Index >= len(left) {
			for _, i := range left {
				errs[i] = err
			}
			break
		}
		errs[left[conflict.Index]] = &backing.ConflictError{}
		left = append(left[:conflict.Index], left[conflict.Index+1:]...)
		rest = make([]backing.Write, len(left))
		for i, index := range left {
			rest[i] = writes[index]
		}
	}
	return errs
}
