package configsim

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// StoreState is the condition of the store.
type StoreState uint8

// Conditions of the store.
const (
	// StoreUp answers after the configured latency.
	StoreUp StoreState = iota
	// StoreDown refuses connections.
	StoreDown
	// StoreSlow takes half a second to four seconds per read, so that about
	// half of the reads miss the timeout of 2 s.
	StoreSlow
)

// link is the path of one node to the store. It counts reads that reach the
// store, and adds up the time that they take.
type link struct {
	backing.TableService
	sim  *Sim
	node *Node
	took time.Duration
}

// Get implements backing.TableService.
func (l *link) Get(ctx context.Context, table, key string) (backing.Row, error) {
	if err := l.read(); err != nil {
		return backing.Row{}, err
	}
	return l.TableService.Get(ctx, table, key)
}

// Scan implements backing.TableService.
func (l *link) Scan(ctx context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	if err := l.read(); err != nil {
		return nil, err
	}
	return l.TableService.Scan(ctx, table, prefix, after, limit)
}

func (l *link) read() error {
	if l.sim.StoreUnreachable[l.node.domain] {
		l.took += l.sim.cfg.StoreTimeout
		return merry.Wrap(backing.ErrUnavailable)
	}
	l.sim.countRead()
	switch l.sim.StoreState {
	case StoreDown:
		return merry.Wrap(backing.ErrUnavailable)
	case StoreSlow:
		d := 500*time.Millisecond + time.Duration(l.sim.rng.Int63n(int64(3500*time.Millisecond)))
		l.took += min(d, l.sim.cfg.StoreTimeout)
		if d > l.sim.cfg.StoreTimeout {
			return merry.Wrap(backing.ErrUnavailable)
		}
	default:
		l.took += l.sim.cfg.StoreLatency
	}
	return nil
}
