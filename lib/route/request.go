package route

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Request describes the request that an instance is picked for.
type Request struct {
	Pool    string
	Role    Role
	Weights model.Weights
	// Prefix holds one hash per block of the prompt. Each hash covers the prompt
	// from its start to the end of the block and the weights, so that equal text
	// with other weights never matches.
	Prefix []uint64
	// AffinityBlocks is the number of leading blocks that requests of one kind
	// share. The last of them is the rendezvous key; 0 disables affinity.
	AffinityBlocks int
	// Allowed reports whether an instance may be used for this request. It
	// excludes instances on which the request failed before or that run another
	// suspect request. Nil allows all.
	Allowed func(Key) bool
	// HasCapacity reports whether an instance is below its concurrency limit. Nil
	// means that all are.
	HasCapacity func(Key) bool
	// OfferedAt is the time at which placing the request was first tried. Until
	// Config.MaxWait after it, the request waits for an instance that has its
	// prefix if few instances are available. The zero value disables waiting.
	OfferedAt time.Time
}

func (r *Request) affinityKey() (uint64, bool) {
	n := min(r.AffinityBlocks, len(r.Prefix))
	if n == 0 {
		return 0, false
	}
	return r.Prefix[n-1], true
}

// Choice is the instance selected by Pick.
type Choice struct {
	Key Key
	// Spilled indicates that the instance is in another failure domain.
	Spilled bool
	// CachedBlocks is the number of leading prompt blocks that the instance is
	// believed to have cached. It is only a hint.
	CachedBlocks int
}
