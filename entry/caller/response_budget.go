package caller

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/memory"
)

const (
	// maxBufferedBytes is the maximum size of a response that is not streamed, where the
	// budget is not smaller.
	maxBufferedBytes = 64 << 20
	// freeResponseBytes is what a response may take without a reservation. It is enough for
	// 16,000 tokens, so that responses of models wait for no others.
	freeResponseBytes = 64 << 10
	// firstResponseBytes is what a response beyond that reserves first.
	firstResponseBytes = 1 << 20
	// responseBudgetParts is the number of equal parts of the budget for responses.
	responseBudgetParts = 2
	// serviceShare is the part of each that one service may take: a half, so that a faulty
	// service leaves room for the responses of others.
	serviceShare = 2
)

// responseBudget bounds the memory of long responses that are not streamed. A response beyond
// freeResponseBytes reserves firstResponseBytes in one part of the budget, and beyond these
// the largest size in the other. Within one part, responses that are held in part could wait
// for each other. Its holders are services. It is safe for concurrent use.
type responseBudget struct {
	first, large *memory.Budget
	// max is the maximum size of a response in bytes.
	max int
}

func newResponseBudget(bytes int64) *responseBudget {
	part := bytes / responseBudgetParts
	return &responseBudget{
		first: memory.NewBudget(part, part/serviceShare),
		large: memory.NewBudget(part, part/serviceShare),
		// One response may have this size, as a reservation beyond the limit is granted alone.
		max: int(min(maxBufferedBytes, 2*bytes)),
	}
}

// responseRoom is the room of one response. It is used by one goroutine at a time.
type responseRoom struct {
	// ctx is that of the request, which waits for room until its deadline.
	ctx          context.Context
	until        time.Time
	budget       *responseBudget
	service      string
	first, large *memory.Reservation
}

// grow waits until there is room for a response of a size in bytes.
func (r *responseRoom) grow(bytes int) (err error) {
	if bytes > freeResponseBytes && r.first == nil {
		if r.first, err = r.acquire(r.budget.first, firstResponseBytes); err != nil {
			return err
		}
	}
	if bytes > firstResponseBytes && r.large == nil {
		r.large, err = r.acquire(r.budget.large, int64(r.budget.max))
	}
	return err
}

func (r *responseRoom) acquire(b *memory.Budget, bytes int64) (*memory.Reservation, error) {
	ctx, cancel := context.WithDeadline(r.ctx, r.until)
	defer cancel()
	return b.Acquire(ctx, r.service, bytes)
}

// release returns all room. Further calls do nothing.
func (r *responseRoom) release() {
	r.first.Release()
	r.large.Release()
	r.first, r.large = nil, nil
}
