package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/watch"
)

// Source reads one table, through another instance of the region if possible
// and directly from the store otherwise. It is not safe for concurrent use.
type Source struct {
	config Config
	store  watch.Source
	cache  *Cache
	role   func() Role
	client client
	// deadline is when the store is read whichever instances could still be asked.
	deadline readDeadline

	// avoided holds the instances that could not be followed.
	avoided map[netip.AddrPort]avoidance
	// onPathChange is called when the table is read on another path than
	// before: through an instance, or directly if through is not valid. reason
	// is the error that caused the change, if any.
	onPathChange func(through netip.AddrPort, reason error)
	path         netip.AddrPort
	// leaveReason is why the last instance that was queried could not be followed; nil if it
	// answered.
	leaveReason error
	// startedAt is when changes were first asked for.
	startedAt time.Time
	// awaitedRegion is set once the first read has waited for other instances to be known.
	awaitedRegion bool
	// hadChanges is true if the last answer of the store contained changes and all that there
	// were.
	hadChanges bool
	// storeFailed is true if the last call to the store failed.
	storeFailed bool
	// stoodIn is set if the last call to the store was made for others.
	stoodIn bool
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
		deadline: readDeadline{bound: cache.config.MaxPropagation}, onPathChange: onPathChange, avoided: make(map[netip.AddrPort]avoidance), config: cache.config, store: store, cache: cache, role: role,
		client: client{
			table: table, answerTimeout: fraction(cache.config.MaxPropagation, answerTimeoutFraction),
			heldTimeout: fraction(cache.config.MaxPropagation, heldTimeoutFraction),
		},
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
	s.awaitRegion(ctx)
	known := s.cache.known()
	s.beginDeadline(0)
	candidates := s.snapshotCandidates()
	for i, c := range candidates {
		if s.deadline.passed() {
			break
		}
		rows, err := s.query(ctx, c, watch.Position{Era: known.Era, Revision: -1}, 0, len(candidates)-i)
		if err == nil && rows.Position().Compare(known) < 0 {
			err = errStale
		}
		if err == nil {
			s.answered(c.address)
			s.cache.replace(rows, false, time.Now())
			return rows, nil
		}
		if ctx.Err() != nil {
			return rows, ctx.Err()
		}
		if errors.Is(err, errStandIn) {
			break
		}
		s.avoid(c.address, err)
	}
	if len(candidates) > 0 {
		s.cache.allowStandIn()
	}
	s.client.close()
	callCtx, call := s.beginCall(ctx)
	callCtx, ended := s.cache.trackTransfer(callCtx)
	callCtx, stop := s.limitStandIn(callCtx, 0)
	rows, err := s.store.Snapshot(callCtx)
	stop()
	if err != nil {
		ended()
		if s.leaveStandIn(ctx) {
			return s.Snapshot(ctx)
		}
		s.storeFailed = true
		s.retryBehind()
		s.trackFailure(ctx, call, err)
		return rows, err
	}
	if call != nil {
		s.ages.Read(&rows, call)
	}
	s.answered(netip.AddrPort{})
	s.markRecovered(&rows)
	s.cache.replace(rows, true, time.Now())
	return rows, nil
}

// Changes implements watch.Source.
func (s *Source) Changes(ctx context.Context, since watch.Position, wait time.Duration) (watch.Rows, error) {
	s.awaitRole(ctx, wait)
	if len(s.candidates()) == 0 {
		wait = s.waitBatch(ctx, wait)
	}
	// Another instance may have become known meanwhile, which saves the call to the store.
	s.beginDeadline(wait)
	candidates := s.candidates()
	for i, c := range candidates {
		if wait <= 0 && s.deadline.passed() {
			break
		}
		rows, err := s.query(ctx, c, since, s.upstreamWait(wait), len(candidates)-i)
		switch {
		case err == nil:
			s.hadChanges = false
			s.answered(c.address)
			s.cache.apply(since, rows, false, time.Now())
			return rows, nil
		case errors.Is(err, watch.ErrHistoryLost):
			s.deadline.confirmed()
			return rows, err
		case ctx.Err() != nil:
			return rows, ctx.Err()
		}
		// Do not wait: changes may have been missed.
		wait = 0
		if errors.Is(err, errStandIn) {
			break
		}
		s.avoid(c.address, err)
	}
	if len(candidates) > 0 {
		s.cache.allowStandIn()
	}
	return s.readChanges(ctx, since, wait)
}

// readChanges reads changes from the store.
func (s *Source) readChanges(ctx context.Context, since watch.Position, wait time.Duration) (watch.Rows, error) {
	s.client.close()
	callCtx, call := s.beginCall(ctx)
	rows, err := s.storeChanges(callCtx, since, wait)
	if errors.Is(err, errRoleChanged) {
		// The first call after it confirms at once what followers are told.
		// The pause after changes came before it.
		s.hadChanges = false
		s.deadline.failed()
		return s.Changes(ctx, since, 0)
	}
	if err != nil {
		if !errors.Is(err, watch.ErrHistoryLost) {
			if s.leaveStandIn(ctx) {
				return s.Changes(ctx, since, 0)
			}
			s.storeFailed = true
			s.retryBehind()
		}
		s.trackFailure(ctx, call, err)
		return rows, err
	}
	s.answered(netip.AddrPort{})
	if rows.Era != since.Era {
		// These are no changes since then. The table is read in full next, which ends the
		// outage.
		s.cache.endTransfer()
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

// errStandIn means that a query to another instance was ended because this one is asked to
// stand in.
var errStandIn = errors.New("instance is asked to read the store for others")

// query queries one instance for the rows that changed after a state, or for all rows if its
// revision is negative. remaining is the number of instances, with this one, that may be
// queried until the store is read.
func (s *Source) query(ctx context.Context, c candidate, since watch.Position, wait time.Duration, remaining int) (watch.Rows, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !s.role().HasFollowers {
		asked := s.cache.standInAsked(time.Now())
		go func() {
			select {
			case <-asked:
				cancel(errStandIn)
			case <-ctx.Done():
			}
		}()
	}
	_, call := s.beginCall(ctx)
	s.client.direct, s.client.standIn, s.client.hold = c.direct, c.standIn, c.hold
	s.limitQuery(wait, remaining)
	rows, err := s.client.fetch(ctx, c.address, since, wait)
	if err != nil {
		if errors.Is(context.Cause(ctx), errStandIn) && !errors.Is(err, watch.ErrHistoryLost) {
			err = errStandIn
		}
		return rows, err
	}
	if call != nil {
		s.ages.Relayed(&rows, s.client.knownAt, call)
	}
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

// errRoleChanged means that a call to the store was ended because the role has become
// known, or because this instance is asked to stand in.
var errRoleChanged = errors.New("role of the instance has changed")

// storeChanges reads changes from the store. It returns errRoleChanged instead of waiting on
// once the role of an instance that has started lately becomes known, or once others ask this
// one to stand in, unless the answer is already arriving.
func (s *Source) storeChanges(ctx context.Context, since watch.Position, wait time.Duration) (rows watch.Rows, err error) {
	callCtx, ended := s.cache.trackTransfer(ctx)
	defer func() {
		if err != nil {
			ended()
		}
	}()
	callCtx, stop := s.limitStandIn(callCtx, wait)
	defer stop()
	if wait <= fraction(s.config.MaxPropagation, confirmFraction) {
		return s.store.Changes(callCtx, since, wait)
	}
	callCtx, cancel := context.WithCancelCause(callCtx)
	defer cancel(nil)
	go s.watchRole(callCtx, func() { cancel(errRoleChanged) })
	rows, err = s.store.Changes(callCtx, since, wait)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(callCtx), errRoleChanged) {
		return watch.Rows{}, errRoleChanged
	}
	return rows, err
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
	if s.hadChanges && (s.cache.direct() || !s.cache.standsIn(time.Now())) {
		pause = s.config.BatchDelay
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if s.role().HasFollowers || s.cache.standsIn(time.Now()) {
		if !s.cache.direct() {
			// Others may follow this instance only once the store has confirmed its rows.
			return 0
		}
		return min(wait, max(0, confirmInterval-pause))
	}
	return wait
}

// markRecovered marks the first answer of the store after an outage.
func (s *Source) markRecovered(rows *watch.Rows) {
	rows.AfterOutage = s.storeFailed
	s.storeFailed = false
}
