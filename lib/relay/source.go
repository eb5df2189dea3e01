package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// Role is whom an instance follows.
type Role struct {
	// Upstream is the instance to ask; not valid if this one reads the store.
	Upstream netip.AddrPort
	// HasFollowers tells that others ask this instance.
	HasFollowers bool
}

// Source reads one table of a store, through another instance of the region where
// that can be followed. It belongs to one goroutine.
type Source struct {
	config Config
	store  watch.Source
	cache  *Cache
	choose func() Role
	client client

	// avoided is an instance that could not be followed, until avoidedUntil.
	avoided      netip.AddrPort
	avoidedUntil time.Time
	avoidedFor   time.Duration
	// onPath is told when the table is read on another path: through an instance, or
	// directly if that is not valid, for a reason.
	onPath func(through netip.AddrPort, reason error)
	path   netip.AddrPort
	// gathering tells that the last answer of the store had changes.
	gathering bool
	// lost tells that the last call of the store failed.
	lost bool
}

var _ watch.Source = (*Source)(nil)

// NewSource returns a Source that keeps cache up to date with what it reads.
// onPath is called by the goroutine that reads, when it reads through another
// instance than before, or directly.
func NewSource(table string, store watch.Source, cache *Cache, choose func() Role, onPath func(through netip.AddrPort, reason error)) *Source {
	return &Source{
		onPath: onPath, config: cache.config, store: store, cache: cache, choose: choose,
		client: client{table: table, silence: share(cache.config.MaxPropagation, silenceShare), direct: true},
	}
}

// Snapshot implements watch.Source.
func (s *Source) Snapshot(ctx context.Context) (watch.Rows, error) {
	if to := s.following(); to.IsValid() {
		rows, err := s.client.ask(ctx, to, -1, 0)
		if err == nil {
			s.followed(to)
			s.cache.replace(rows, false, time.Now())
			return rows, nil
		}
		s.unfollow(to, err)
	}
	rows, err := s.store.Snapshot(ctx)
	if err != nil {
		s.lost = true
		return rows, err
	}
	s.recover(&rows)
	s.cache.replace(rows, true, time.Now())
	return rows, nil
}

// Changes implements watch.Source.
func (s *Source) Changes(ctx context.Context, since int64, wait time.Duration) (watch.Rows, error) {
	if to := s.following(); to.IsValid() {
		rows, err := s.client.ask(ctx, to, since, wait)
		switch {
		case err == nil:
			s.followed(to)
			s.cache.apply(since, rows, false, time.Now())
			return rows, nil
		case errors.Is(err, watch.ErrHistoryLost):
			return rows, err
		case ctx.Err() != nil:
			return rows, ctx.Err()
		}
		s.unfollow(to, err)
		// What was missed meanwhile must not wait for the next change.
		wait = 0
	} else {
		wait = s.gather(ctx, wait)
	}
	rows, err := s.store.Changes(ctx, since, wait)
	if err != nil {
		s.lost = s.lost || !errors.Is(err, watch.ErrHistoryLost)
		return rows, err
	}
	s.recover(&rows)
	s.gathering = len(rows.Rows) > 0
	s.cache.apply(since, rows, true, time.Now())
	return rows, nil
}

// gather pauses after changes and returns how long the next call of the store may
// wait. While others follow this instance it confirms often that it reads the store.
func (s *Source) gather(ctx context.Context, wait time.Duration) time.Duration {
	confirm := share(s.config.MaxPropagation, confirmShare)
	pause := time.Duration(0)
	if s.gathering {
		pause = s.config.BatchDelay
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if s.choose().HasFollowers {
		return min(wait, max(0, confirm-pause))
	}
	return wait
}

// recover marks the first answer of the store after an outage.
func (s *Source) recover(rows *watch.Rows) {
	rows.AfterOutage = s.lost
	s.lost = false
}

// following returns the instance to ask; not valid if there is none.
func (s *Source) following() netip.AddrPort {
	to := s.choose().Upstream
	if to == s.avoided && time.Now().Before(s.avoidedUntil) {
		return netip.AddrPort{}
	}
	return to
}

func (s *Source) followed(through netip.AddrPort) {
	s.avoided, s.avoidedFor = netip.AddrPort{}, 0
	s.setPath(through, nil)
}

func (s *Source) setPath(through netip.AddrPort, reason error) {
	if through != s.path {
		s.path = through
		s.onPath(through, reason)
	}
}

// unfollow leaves an instance alone for a while that doubles each time.
func (s *Source) unfollow(from netip.AddrPort, reason error) {
	s.setPath(netip.AddrPort{}, reason)
	if from != s.avoided {
		s.avoidedFor = 0
	}
	s.avoidedFor = min(max(2*s.avoidedFor, minAvoid), maxAvoid)
	s.avoided, s.avoidedUntil = from, time.Now().Add(s.avoidedFor)
}
