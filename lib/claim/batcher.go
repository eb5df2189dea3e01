package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
)

const (
	// defaultBatchSize bounds the writes of a transaction.
	defaultBatchSize = 64
	// defaultBatchDelay bounds the time that a write waits for others.
	defaultBatchDelay = 20 * time.Millisecond
	// defaultCommitTimeout bounds a commit, whoever waits for it.
	defaultCommitTimeout = 2 * time.Second
)

// BatcherConfig holds the limits of a Batcher. Zero values take defaults.
type BatcherConfig struct {
	Size          int
	Delay         time.Duration
	CommitTimeout time.Duration
	// After is time.After, unless a test controls time.
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
// group waits for others and commits for all; there is no background goroutine.
type Batcher struct {
	config BatcherConfig
	table  backing.TableService

	mu   sync.Mutex
	open *batch
}

// NewBatcher returns a batcher over a table service.
func NewBatcher(config BatcherConfig, table backing.TableService) *Batcher {
	return &Batcher{config: config.applyDefaults(), table: table}
}

// Write applies w together with others and returns what became of w alone. When
// ctx ends before the commit is confirmed, it returns backing.ErrUnknown.
func (b *Batcher) Write(ctx context.Context, w backing.Write) error {
	g, index, leads := b.join(w)
	if leads {
		b.lead(ctx, g)
	}
	select {
	case <-g.done:
		return g.errs[index]
	case <-ctx.Done():
		return errors.Join(backing.ErrUnknown, ctx.Err())
	}
}

// join adds w to the open group. A second write of a row does not share a
// transaction with the first: it opens the next group.
func (b *Batcher) join(w backing.Write) (g *batch, index int, leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open != nil && b.open.has(w) {
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

// close ends the waiting of a group; b.mu is held.
func (b *Batcher) close(g *batch) {
	if b.open == g {
		b.open = nil
		close(g.closed)
	}
}

func (b *Batcher) lead(ctx context.Context, g *batch) {
	select {
	case <-g.closed:
	case <-b.config.After(b.config.Delay):
	}
	b.mu.Lock()
	b.close(g)
	b.mu.Unlock()
	// The leader's own request may be withdrawn; the others' writes go on.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.config.CommitTimeout)
	defer cancel()
	g.errs = commitAll(ctx, b.table, g.writes)
	close(g.done)
}
