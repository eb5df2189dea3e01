package route

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Request says what an instance is picked for.
type Request struct {
	Pool    string
	Role    Role
	Weights model.Weights
	// Prefix holds one hash per block of the prompt. Each covers the prompt
	// from its start to the end of the block and the weights, so that equal
	// text under other weights never matches.
	Prefix []uint64
	// AffinityBlocks is the number of leading blocks that requests of one kind
	// share. The last of them is the key of the rendezvous choice; 0 means no
	// affinity.
	AffinityBlocks int
	// Allowed excludes instances for this request: those that already failed
	// it, or that run another suspect. Nil allows all.
	Allowed func(Key) bool
	// HasCapacity excludes instances that are full by their concurrency limit. Nil
	// means that none is full.
	HasCapacity func(Key) bool
	// OfferedAt is when the request was first offered for placing. Until
	// Config.Patience after it, the request waits for an instance that has its
	// prefix if few instances are free. Zero means that it does not wait.
	OfferedAt time.Time
}

func (r *Request) affinityKey() (uint64, bool) {
	n := min(r.AffinityBlocks, len(r.Prefix))
	if n == 0 {
		return 0, false
	}
	return r.Prefix[n-1], true
}

// Choice is a picked instance.
type Choice struct {
	Key Key
	// Spilled is true when the instance is in another failure domain.
	Spilled bool
	// CachedBlocks is the number of leading blocks that the instance is
	// believed to have cached. It is a hint.
	CachedBlocks int
}
