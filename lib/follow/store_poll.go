package follow

import (
	"context"
	"math/rand"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// pollTimeout bounds one poll of the store.
const pollTimeout = 3 * time.Second

// PollStore polls the store until ctx ends. fleet returns how many entries share
// the store's read budget.
func (f *Follower) PollStore(ctx context.Context, store *config.Store, fleet func() config.FleetSize, rng *rand.Rand) {
	poller := config.NewPoller(config.PollerConfig{}, fleet(), rng, f.cfg.Clock.Now())
	timer := time.NewTimer(poller.Next().Sub(f.cfg.Clock.Now()))
	defer timer.Stop()
	available := true
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		more, err := f.pollOnce(ctx, store)
		available = f.logStoreAvailability(available, err)
		poller.PollDone(err, more, fleet(), f.cfg.Clock.Now())
		timer.Reset(poller.Next().Sub(f.cfg.Clock.Now()))
	}
}

func (f *Follower) pollOnce(ctx context.Context, store *config.Store) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	f.mu.Lock()
	head := f.replica.Head()
	f.mu.Unlock()
	poll, err := store.Poll(ctx, head)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	before := f.replica.Current()
	if _, err := f.replica.Apply(poll.Revisions, now); err != nil && config.IsDamaged(err) {
		f.cfg.Log.Log(eventlog.ConfigRejected, "source", "store", "err", err)
		return false, merry.Wrap(err)
	}
	// If there are more revisions to read, the replica is behind and must not count
	// as confirmed.
	if poll.Head.Number > 0 && !poll.More {
		if _, err := f.replica.ObserveHead(poll.Head, 0, now); err != nil {
			f.cfg.Log.Log(eventlog.ConfigRejected, "source", "store", "err", err)
		}
	}
	f.publishIfChanged(before, now)
	return poll.More, nil
}

func (f *Follower) logStoreAvailability(wasAvailable bool, err error) bool {
	switch {
	case err != nil && wasAvailable:
		f.cfg.Log.Log(eventlog.StoreUnavailable, "err", err)
	case err == nil && !wasAvailable:
		f.cfg.Log.Log(eventlog.StoreRecovered)
	}
	return err == nil
}

// ApplyAccepted applies a revision that the store has just accepted from this
// process, so that it need not be polled. It ignores nil.
func (f *Follower) ApplyAccepted(encoded []byte) {
	if encoded == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	before := f.replica.Current()
	// After a gap, the next poll reads the revisions in between.
	_, _ = f.replica.Apply([][]byte{encoded}, now)
	f.publishIfChanged(before, now)
}
