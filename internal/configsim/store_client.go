package configsim

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// StoreState is the condition of the store as seen by polling entries.
type StoreState uint8

const (
	// StoreUp answers after the configured latency.
	StoreUp StoreState = iota
	// StoreDown refuses connections.
	StoreDown
	// StoreSlow takes 0.5 s to 4 s per read, so that about half of the reads
	// exceed the default timeout of 2 s.
	StoreSlow
)

// storeClient is the connection of one node to the store. It counts the reads that
// reach the store and sums up their simulated duration.
type storeClient struct {
	backing.TableService
	sim     *Sim
	node    *Node
	elapsed time.Duration
}

// Get implements backing.TableService.
func (l *storeClient) Get(ctx context.Context, table, key string) (backing.Row, error) {
	if err := l.read(); err != nil {
		return backing.Row{}, err
	}
	return l.TableService.Get(ctx, table, key)
}

// Scan implements backing.TableService.
func (l *storeClient) Scan(ctx context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	if err := l.read(); err != nil {
		return nil, err
	}
	return l.TableService.Scan(ctx, table, prefix, after, limit)
}

func (l *storeClient) read() error {
	if l.sim.StoreUnreachable[l.node.domain] {
		l.elapsed += l.sim.cfg.StoreTimeout
		return merry.Wrap(backing.ErrUnavailable)
	}
	l.sim.recordRead()
	switch l.sim.StoreState {
	case StoreDown:
		return merry.Wrap(backing.ErrUnavailable)
	case StoreSlow:
		d := 500*time.Millisecond + time.Duration(l.sim.rng.Int63n(int64(3500*time.Millisecond)))
		l.elapsed += min(d, l.sim.cfg.StoreTimeout)
		if d > l.sim.cfg.StoreTimeout {
			return merry.Wrap(backing.ErrUnavailable)
		}
	default:
		l.elapsed += l.sim.cfg.StoreLatency
	}
	return nil
}
