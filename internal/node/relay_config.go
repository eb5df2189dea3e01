package node

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/relay"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

const (
	// applyReserve is the part of a bound that is reserved for a full read of the
	// table and for applying it.
	applyReserve = 500 * time.Millisecond
	// batchDelayFraction is the part of DrainTime for which changes of servers are
	// collected before they are read. Each store call is billed, and agents report the
	// state of their engines without the store.
	batchDelayFraction = 0.25
)

// maxStoreWait returns how long a store call may wait for a change. A
// connection that no longer delivers anything is detected only when the call ends.
// After such a fault, bounds hold again only after StallTime, so a call may take up
// to StallTime and the bound together.
func maxStoreWait(b *platform.Bounds, bound time.Duration) time.Duration {
	return max(0, b.StallTime+bound-watch.ResponseTimeout-applyReserve)
}

// operatorRelayConfig uses the shortest bound that applies to rows of the operator.
func operatorRelayConfig(b *platform.Bounds) relay.Config {
	bound := b.ConfigTime
	if b.EvacuateTime > 0 && b.EvacuateTime < bound {
		bound = b.EvacuateTime
	}
	return relay.Config{MaxPropagation: bound, LongPollTimeout: maxStoreWait(b, bound)}
}

// OperatorWatchConfig is how entries follow the operator's table. The changes of an outage
// that is longer than the bound of a configuration are not read one by one: the last one
// must be in force soon after it. What a restored store has lost is written again in the
// time in which other bounds need not hold either.
func OperatorWatchConfig(b *platform.Bounds) watch.Config {
	c := operatorRelayConfig(b)
	return watch.Config{LongPollTimeout: c.LongPollTimeout, MaxReplay: c.MaxPropagation, RestoreSettle: max(b.StallTime, directory.ExpiryGrace)}
}

func serversRelayConfig(b *platform.Bounds) relay.Config {
	return relay.Config{MaxPropagation: b.DrainTime, LongPollTimeout: maxStoreWait(b, b.DrainTime), BatchDelay: time.Duration(batchDelayFraction * float64(b.DrainTime))}
}
