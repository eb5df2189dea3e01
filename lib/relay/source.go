package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/watch"
)

// Role determines where an instance reads a table from and whether others
// follow it.
type Role struct {
	// Upstream is the instance to query. If it is not valid, this instance
	// reads the store directly.
	Upstream netip.AddrPort
	// HasFollowers is true if other instances query this one.
	HasFollowers bool
}

// Source reads one table, through another instance of the region if possible
// and directly from the store otherwise. It is not safe for concurrent use.
type Source struct {
	config Config
	store  watch.Source
	cache  *Cache
	role   func() Role
	client client

	// avoided is an instance that could not be followed. It is not queried
	// until avoidedUntil, which was set avoidedFor in advance.
	avoided      netip.AddrPort
	avoidedUntil time.Time
	avoidedFor   time.Duration
	// onPathChange is called when the table is read on another path than
	// before: through an instance, or directly if through is not valid. reason
	// is the error that caused the change, if any.
	onPathChange func(through netip.AddrPort, reason error)
	path         netip.AddrPort
	// startedAt is when changes were first asked for.
	startedAt time.Time
	// hadChanges is true if the last answer of the store contained changes and all that there
	// were.
	hadChanges bool
	// storeFailed is true if the last call to the store failed.
	storeFailed bool
	// ages bounds the age of rows; nil if that is not needed.
	ages *rowage.Tracker
}

var _ watch.Source = (*Source)(nil)

// NewSource returns a Source that updates cache with what it reads. role is
// called before each read, and by other goroutines during the first ones. onPathChange is
// called by the reading goroutine when it reads through another instance than before, or
// directly.
func NewSource(table string, store watch.Source, cache *Cache, role func() Role, onPathChange func(through netip.AddrPort, reason error)) *Source {
	return &Source{
		onPathChange: onPathChange, config: cache.config, store: store, cache: cache, role: role,
		client: client{table: table, answerTimeout: fraction(cache.config.MaxPropagation, answerTimeoutFraction), direct: true},
	}
}

// TrackAges makes the Source set WrittenAfter of rows. It must be called before the first
// read.
func (s *Source) TrackAges(ages *rowage.Tracker) {
	s.ages, s.client.arrival = ages, ages.Arrival
	s.cache.trackAges(ages)
}

// Snapshot implements watch.Source.
func (s *Source) Snapshot(ctx context.Context) (watch.Rows, error) {
	if to := s.upstream(); to.IsValid() {
		_, call := s.beginCall(ctx)
		known := s.cache.known()
		rows, err := s.client.fetch(ctx, to, watch.Position{Era: known.Era, Revision: -1}, 0)
		if err == nil && rows.Position().Compare(known) < 0 {
			err = errStale
		}
		if err == nil {
			s.trackRelayed(&rows, call)
			s.upstreamAnswered(to)
			s.cache.replace(rows, false, time.Now())
			return rows, nil
		}
		s.avoidUpstream(to, err)
	}
	callCtx, call := s.beginCall(ctx)
	rows, err := s.store.Snapshot(callCtx)
	if err != nil {
		s.storeFailed = true
		s.trackFailure(ctx, call, err)
		return rows, err
	}
	if call != nil {
		s.ages.Read(&rows, call)
	}
	s.markRecovered(&rows)
	s.cache.replace(rows, true, time.Now())
	return rows, nil
}

// Changes implements watch.Source.
func (s *Source) Changes(ctx context.Context, since watch.Position, wait time.Duration) (watch.Rows, error) {
	s.awaitRole(ctx, wait)
	to := s.upstream()
	if !to.IsValid() {
		wait = s.waitBatch(ctx, wait)
		// Another instance may have become known, which saves the call to the store.
		to = s.upstream()
	}
	if to.IsValid() {
		_, call := s.beginCall(ctx)
		rows, err := s.client.fetch(ctx, to, since, s.upstreamWait(wait))
		switch {
		case err == nil:
			s.trackRelayed(&rows, call)
			s.upstreamAnswered(to)
			s.cache.apply(since, rows, false, time.Now())
			return rows, nil
		case errors.Is(err, watch.ErrHistoryLost):
			return rows, err
		case ctx.Err() != nil:
			return rows, ctx.Err()
		}
		s.avoidUpstream(to, err)
		// Do not wait: changes may have been missed.
		wait = 0
	}
	callCtx, call := s.beginCall(ctx)
	rows, err := s.storeChanges(callCtx, since, wait)
	if errors.Is(err, errRoleChanged) {
		// The first call after it confirms at once what followers are told.
		return s.Changes(ctx, since, 0)
	}
	if err != nil {
		s.storeFailed = s.storeFailed || !errors.Is(err, watch.ErrHistoryLost)
		s.trackFailure(ctx, call, err)
		return rows, err
	}
	if rows.Era != since.Era {
		// These are no changes since then. The table is read in full next, which ends the
		// outage.
		return watch.Rows{Era: rows.Era, Revision: rows.Revision}, nil
	}
	s.markRecovered(&rows)
	switch {
	case call == nil:
	case wait > 0:
		s.ages.Waited(&rows, call)
	default:
		s.ages.Read(&rows, call)
	}
	s.hadChanges = len(rows.Rows) > 0 && !rows.More
	s.cache.apply(since, rows, true, time.Now())
	return rows, nil
}

// beginCall returns the context of a call to the store and, if ages are tracked, the call.
func (s *Source) beginCall(ctx context.Context) (context.Context, *rowage.Call) {
	if s.ages == nil {
		return ctx, nil
	}
	return s.ages.Begin(ctx)
}

// trackFailure records a failed call to the store.
func (s *Source) trackFailure(ctx context.Context, call *rowage.Call, err error) {
	if call != nil && ctx.Err() == nil && !errors.Is(err, watch.ErrHistoryLost) {
		s.ages.Failed(call, err)
	}
}

// trackRelayed bounds the age of rows that another instance has just returned.
func (s *Source) trackRelayed(rows *watch.Rows, call *rowage.Call) {
	if call != nil {
		s.ages.Relayed(rows, s.client.knownAt, call)
	}
}

// awaitRole delays the first call for changes until the role of this instance is known:
// an instance that has just started learns of the others from the table itself. After
// confirmFraction of the bound it reads the store anyway, and at once if the table was empty:
// what it needs may be about to be written.
func (s *Source) awaitRole(ctx context.Context, wait time.Duration) {
	if !s.startedAt.IsZero() || wait <= 0 {
		return
	}
	s.startedAt = time.Now()
	if s.cache.empty() {
		return
	}
	deadline := time.Now().Add(fraction(s.config.MaxPropagation, confirmFraction))
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	for s.role() == (Role{}) && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// errRoleChanged means that a call to the store was ended because the role has become
// known.
var errRoleChanged = errors.New("role of the instance has become known")

// storeChanges reads changes from the store. It returns errRoleChanged instead of waiting on
// once the role of an instance that has started lately becomes known.
func (s *Source) storeChanges(ctx context.Context, since watch.Position, wait time.Duration) (watch.Rows, error) {
	if wait <= 0 || !s.settling() || s.role() != (Role{}) {
		return s.store.Changes(ctx, since, wait)
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		ticker := time.NewTicker(roleCheckInterval)
		defer ticker.Stop()
		for s.role() == (Role{}) {
			select {
			case <-callCtx.Done():
				return
			case <-ticker.C:
			}
		}
		cancel(errRoleChanged)
	}()
	rows, err := s.store.Changes(callCtx, since, wait)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(callCtx), errRoleChanged) {
		return watch.Rows{}, errRoleChanged
	}
	return rows, err
}

// settling reports whether this instance has started a short time ago: the instances of a
// region that start together do not know all others yet.
func (s *Source) settling() bool {
	return time.Since(s.startedAt) < settleBounds*s.config.MaxPropagation
}

// upstreamWait returns how long a query to another instance may wait. At first it is short:
// the one that all will follow must notice that soon.
func (s *Source) upstreamWait(wait time.Duration) time.Duration {
	if s.settling() {
		return min(wait, fraction(s.config.MaxPropagation, confirmFraction))
	}
	return wait
}

// waitBatch pauses after changes and returns how long the next call to the
// store may wait. While other instances follow this one, that is short enough
// to confirm regularly that it reads the store.
func (s *Source) waitBatch(ctx context.Context, wait time.Duration) time.Duration {
	confirmInterval := fraction(s.config.MaxPropagation, confirmFraction)
	pause := time.Duration(0)
	if s.hadChanges {
		pause = s.config.BatchDelay
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if s.role().HasFollowers {
		return min(wait, max(0, confirmInterval-pause))
	}
	return wait
}

// markRecovered marks the first answer of the store after an outage.
func (s *Source) markRecovered(rows *watch.Rows) {
	rows.AfterOutage = s.storeFailed
	s.storeFailed = false
}

// upstream returns the instance to query; the result is not valid if there is
// none or if it is avoided.
func (s *Source) upstream() netip.AddrPort {
	to := s.role().Upstream
	if to == s.avoided && time.Now().Before(s.avoidedUntil) {
		return netip.AddrPort{}
	}
	return to
}

// upstreamAnswered clears the avoided instance and records the path.
func (s *Source) upstreamAnswered(through netip.AddrPort) {
	s.avoided, s.avoidedFor = netip.AddrPort{}, 0
	s.setPath(through, nil)
}

// setPath records the path of a read and reports it if it has changed.
func (s *Source) setPath(through netip.AddrPort, reason error) {
	if through != s.path {
		s.path = through
		s.onPathChange(through, reason)
	}
}

// avoidUpstream stops following an instance for a time that doubles with each
// consecutive failure.
func (s *Source) avoidUpstream(from netip.AddrPort, reason error) {
	s.setPath(netip.AddrPort{}, reason)
	if from != s.avoided {
		s.avoidedFor = 0
	}
	s.avoidedFor = min(max(2*s.avoidedFor, minAvoid), maxAvoid)
	s.avoided, s.avoidedUntil = from, time.Now().Add(s.avoidedFor)
}
