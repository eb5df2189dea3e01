package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
)

const (
	// defaultBatchSize is the maximum number of writes in a transaction.
	defaultBatchSize = 64
	// defaultBatchDelay is the maximum time for which a batch waits for further
	// writes.
	defaultBatchDelay = 20 * time.Millisecond
	// defaultCommitTimeout is the time limit of a commit, independent of the
	// contexts of its writers.
	defaultCommitTimeout = 2 * time.Second
)

// BatcherConfig holds the parameters of a Batcher. Zero values take their
// defaults.
type BatcherConfig struct {
	Size          int
	Delay         time.Duration
	CommitTimeout time.Duration
	// After replaces time.After in tests.
	After func(time.Duration) <-chan time.Time
}

func (c BatcherConfig) applyDefaults() BatcherConfig {
	if c.Size <= 0 {
		c.Size = defaultBatchSize
	}
	if c.Delay <= 0 {
		c.Delay = defaultBatchDelay
	}
	if c.CommitTimeout <= 0 {
		c.CommitTimeout = defaultCommitTimeout
	}
	if c.After == nil {
		c.After = time.After
	}
	return c
}

// Batcher groups concurrent writes into transactions. The first writer of a
// batch waits for others and commits for all of them; there is no background
// goroutine. It is safe for concurrent use.
type Batcher struct {
	config BatcherConfig
	table  backing.TableService

	mu   sync.Mutex
	open *batch
}

// NewBatcher returns a Batcher that writes to table.
func NewBatcher(config BatcherConfig, table backing.TableService) *Batcher {
	return &Batcher{config: config.applyDefaults(), table: table}
}

// Write commits w together with concurrent writes and returns the result of w
// alone. If ctx ends before the commit is confirmed, it returns an error that
// wraps backing.ErrUnknown.
func (b *Batcher) Write(ctx context.Context, w backing.Write) error {
	g, index, leads := b.join(w)
	if leads {
		b.commitAsLeader(ctx, g)
	}
	select {
	case <-g.done:
		return g.errs[index]
	case <-ctx.Done():
		return errors.Join(backing.ErrUnknown, ctx.Err())
	}
}

// join adds w to the open batch. Two writes to the same row must not share a
// transaction; the second one starts the next batch. leads reports whether the
// caller must commit the batch.
func (b *Batcher) join(w backing.Write) (g *batch, index int, leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open != nil && b.open.writesSameRow(w) {
		b.close(b.open)
	}
	if b.open == nil {
		b.open = newBatch()
		leads = true
	}
	g = b.open
	index = g.add(w)
	if len(g.writes) >= b.config.Size {
		b.close(g)
	}
	return g, index, leads
}

// close stops the batch from accepting writes. The caller must hold b.mu.
func (b *Batcher) close(g *batch) {
	if b.open == g {
		b.open = nil
		close(g.closed)
	}
}

func (b *Batcher) commitAsLeader(ctx context.Context, g *batch) {
	select {
	case <-g.closed:
	case <-b.config.After(b.config.Delay):
	}
	b.mu.Lock()
	b.close(g)
	b.mu.Unlock()
	// The leader's request may be canceled; the other writes must still be
	// committed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.config.CommitTimeout)
	defer cancel()
	g.errs = commitEach(ctx, b.table, g.writes)
	close(g.done)
}
