package node

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/relay"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

const (
	// applyReserve is what is left of a bound for the answer of a full read and
	// for acting on it.
	applyReserve = 500 * time.Millisecond
	// gatherShare is the part of the time to leave a draining server in which
	// changes of servers gather before they are read: each call is paid for, and
	// agents report on their engines without the store.
	gatherShare = 0.25
)

// storeWait is how long a call of the store may wait for a change. A connection
// that delivers nothing more is noticed at its end. From its loss on a process
// has StallTime before bounds hold again, and then the bound itself.
func storeWait(b *platform.Bounds, bound time.Duration) time.Duration {
	return max(0, b.StallTime+bound-watch.ResponseTimeout-applyReserve)
}

func operatorRelay(b *platform.Bounds) relay.Config {
	return relay.Config{MaxPropagation: b.ConfigTime, Wait: storeWait(b, b.ConfigTime)}
}

func serversRelay(b *platform.Bounds) relay.Config {
	return relay.Config{MaxPropagation: b.DrainTime, Wait: storeWait(b, b.DrainTime), BatchDelay: time.Duration(gatherShare * float64(b.DrainTime))}
}
