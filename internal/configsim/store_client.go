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
func (c *storeClient) Get(ctx context.Context, table, key string) (backing.Row, error) {
	if err := c.read(); err != nil {
		return backing.Row{}, err
	}
	return c.TableService.Get(ctx, table, key)
}

// Scan implements backing.TableService.
func (c *storeClient) Scan(ctx context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	if err := c.read(); err != nil {
		return nil, err
	}
	return c.TableService.Scan(ctx, table, prefix, after, limit)
}

func (c *storeClient) read() error {
	if c.sim.StoreUnreachable[c.node.domain] {
		c.elapsed += c.sim.cfg.StoreTimeout
		return merry.Wrap(backing.ErrUnavailable)
	}
	c.sim.recordRead()
	switch c.sim.StoreState {
	case StoreDown:
		return merry.Wrap(backing.ErrUnavailable)
	case StoreSlow:
		d := 500*time.Millisecond + time.Duration(c.sim.rng.Int63n(int64(3500*time.Millisecond)))
		c.elapsed += min(d, c.sim.cfg.StoreTimeout)
		if d > c.sim.cfg.StoreTimeout {
			return merry.Wrap(backing.ErrUnavailable)
		}
	default:
		c.elapsed += c.sim.cfg.StoreLatency
	}
	return nil
}
