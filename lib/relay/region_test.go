package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// suiteT is the test that runs the specs.
var suiteT *testing.T

// inBubble runs f on a clock of its own, so that its times do not depend on the speed of the
// machine. f returns what it has measured: a failed expectation must not end a goroutine of
// the bubble.
func inBubble[T any](f func(ctx context.Context) T) (result T) {
	synctest.Test(suiteT, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		result = f(ctx)
	})
	return result
}

// slowLink transfers data at a limited rate that all transfers share.
type slowLink struct {
	// rate is in bytes per second.
	rate int

	mu     sync.Mutex
	freeAt time.Time
	// copies is the number of large rows whose transfer has begun.
	copies int
}

// largeRow is the size from which a row counts as a copy, and chunkSize that of the parts
// in which transfers take turns.
const (
	largeRow  = 50_000
	chunkSize = 8 << 10
)

func (l *slowLink) transfer(ctx context.Context, size int) error {
	for ; size > 0; size -= chunkSize {
		l.mu.Lock()
		if now := time.Now(); l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(min(size, chunkSize)) * time.Second / time.Duration(l.rate))
		arrival := time.Until(l.freeAt)
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(arrival):
		}
		watch.NoteProgress(ctx)
	}
	return nil
}

func (l *slowLink) copyCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copies
}

// farStore is a store behind a link, as seen by one instance.
type farStore struct {
	*content
	link *slowLink
	// cut is set while the instance cannot reach the store.
	cut   atomic.Bool
	calls atomic.Int64
	// trickle is the pause between two bytes of each answer with rows; none if it is zero.
	trickle atomic.Int64
}

const (
	// linkDelay is the time from a call to the begin of its answer.
	linkDelay = 60 * time.Millisecond
	// maxAnswerBytes is the size of an answer of the store at most.
	maxAnswerBytes = 1_000_000
)

var errCut = errors.New("store does not answer")

// answer transfers rows, as many as an answer holds if it is limited.
func (s *farStore) answer(ctx context.Context, rows watch.Rows, limited bool) (watch.Rows, error) {
	size := 0
	for i, r := range rows.Rows {
		if limited && i > 0 && size+len(r.Data) > maxAnswerBytes {
			rows.Rows, rows.More, rows.Revision = rows.Rows[:i], true, rows.Rows[i-1].Revision
			break
		}
		size += len(r.Data)
		rows.More = rows.More || limited && size+len(r.Data) > maxAnswerBytes
	}
	for _, r := range rows.Rows {
		if len(r.Data) >= largeRow {
			s.link.mu.Lock()
			s.link.copies++
			s.link.mu.Unlock()
		}
	}
	for size > 0 && s.trickle.Load() > 0 {
		watch.NoteProgress(ctx)
		select {
		case <-ctx.Done():
			return watch.Rows{}, ctx.Err()
		case <-time.After(time.Duration(s.trickle.Load())):
		}
	}
	if err := s.link.transfer(ctx, size+1); err != nil {
		return watch.Rows{}, err
	}
	return rows, nil
}

// reach waits until a call reaches the store. It fails as a call without an answer does.
func (s *farStore) reach(ctx context.Context) error {
	s.calls.Add(1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(linkDelay):
	}
	if s.cut.Load() {
		return s.silence(ctx, watch.ResponseTimeout)
	}
	return nil
}

// silence waits until a call without an answer ends.
func (s *farStore) silence(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return errCut
	}
}

func (s *farStore) Snapshot(ctx context.Context) (watch.Rows, error) {
	if err := s.reach(ctx); err != nil {
		return watch.Rows{}, err
	}
	return s.answer(ctx, s.snapshot(), false)
}

func (s *farStore) Changes(ctx context.Context, since watch.Position, wait time.Duration) (watch.Rows, error) {
	if err := s.reach(ctx); err != nil {
		return watch.Rows{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		rows, changed := s.since(since.Revision)
		if s.cut.Load() {
			return watch.Rows{}, s.silence(ctx, time.Until(deadline)+watch.ResponseTimeout)
		}
		if len(rows.Rows) > 0 || wait == 0 {
			return s.answer(ctx, rows, true)
		}
		select {
		case <-ctx.Done():
			return watch.Rows{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(deadline)):
			wait = 0
		}
	}
}

// regionMember is an instance of a region.
type regionMember struct {
	address  netip.AddrPort
	store    *farStore
	cache    *Cache
	received *recorder
	stop     context.CancelFunc
	// frozen is set while the instance answers no queries and does not reach the store.
	frozen atomic.Bool
}

// stopping implements the function of NewServer.
func (m *regionMember) stopping(ctx context.Context) bool {
	if m.frozen.Load() {
		<-ctx.Done()
	}
	return ctx.Err() != nil
}

// region is a number of instances in rank order whose stores are behind one link.
type region struct {
	config  Config
	content *content
	link    *slowLink
	pipes   *pipes
	members []*regionMember
	ranked  []netip.AddrPort
}

// newRegion starts n instances that have read the table. rate is that of the link afterwards.
func newRegion(ctx context.Context, n, rate int) *region {
	r := &region{
		config:  Config{MaxPropagation: 3 * time.Second, LongPollTimeout: 5 * time.Second},
		content: newContent(), link: &slowLink{rate: 1 << 30}, pipes: &pipes{listeners: make(map[netip.AddrPort]*pipeListener), cuts: make(map[[2]netip.AddrPort]bool)},
		members: make([]*regionMember, n),
	}
	r.content.put("other", []byte("1"), false)
	for i := range n {
		r.ranked = append(r.ranked, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7200))
	}
	for i := range n {
		r.start(ctx, i)
	}
	time.Sleep(20 * time.Second)
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	r.link.rate, r.link.copies = rate, 0
	return r
}

// discoveryTime is how long an instance that starts knows no other.
const discoveryTime = 200 * time.Millisecond

// start starts an instance, with an empty cache.
func (r *region) start(ctx context.Context, i int) {
	ctx, stop := context.WithCancel(ctx)
	m := &regionMember{
		address: r.ranked[i], store: &farStore{content: r.content, link: r.link},
		cache: NewCache(r.config), received: &recorder{}, stop: stop,
	}
	r.members[i] = m
	go NewServer(map[string]*Cache{"t": m.cache}, func() bool { return m.stopping(ctx) }).Run(ctx, r.pipes.listen(m.address))
	known := time.Now().Add(discoveryTime)
	role := func() Role {
		if time.Now().Before(known) {
			return Role{Pending: true}
		}
		return RoleIn(r.ranked, m.address)
	}
	source := NewSource("t", m.store, m.cache, role, func(netip.AddrPort, error) {})
	source.client.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return r.pipes.dialFrom(ctx, m.address, to)
	}
	go watch.New(watch.Config{LongPollTimeout: r.config.LongPollTimeout, MaxReplay: r.config.MaxPropagation}, source, m.received).Run(ctx)
}

// declare writes a version of the configuration of a size.
func (r *region) declare(version string, size int) {
	r.content.put("config", append([]byte(version), make([]byte, size)...), false)
}

// behind returns the number of instances from the given one on that do not have a version in
// force, or a later one.
func (r *region) behind(from int, version string) (count int) {
	for _, m := range r.members[from:] {
		if value := m.received.get("config"); len(value) < len(version) || value[:len(version)] < version {
			count++
		}
	}
	return count
}

// lacks returns one if an instance does not have a version in force, or a later one.
func (r *region) lacks(i int, version string) int {
	return r.behind(i, version) - r.behind(i+1, version)
}
