// Package follow keeps the configuration replica of one process up to date from
// the store and from its connections to other processes. Entries and agents use
// it alike; only entries poll the store.
package follow

import (
	"math/rand"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// SendFunc sends a message to a peer without blocking.
type SendFunc func(wire.Message) error

// Config sets up a Follower.
type Config struct {
	Clock clock.Clock
	Rand  *rand.Rand
	Log   *eventlog.Logger
	// Heartbeat returns a heartbeat of the process without the configuration fields.
	// It is sent out of turn to peers that do not know a new revision yet.
	Heartbeat func() wire.Heartbeat
}

// Follower is safe for concurrent use.
type Follower struct {
	cfg     Config
	replica *config.Replica

	mu       sync.Mutex
	peers    *config.Peers
	sends    map[config.PeerID]SendFunc
	watchers []func(*config.View)
	// stale is set while the configuration is older than staleAfter.
	stale bool
}

// staleAfter is the age from which on a configuration is reported as not
// confirmed. A change has to be in force everywhere within 9 s; the rest lets
// one lost poll and one lost heartbeat pass.
const staleAfter = 15 * time.Second

// New returns a follower without a configuration.
func New(cfg Config) *Follower {
	return &Follower{
		cfg:     cfg,
		replica: config.NewReplica(config.ReplicaConfig{}, cfg.Clock.Now()),
		peers:   config.NewPeers(config.PeersConfig{}, cfg.Rand),
		sends:   make(map[config.PeerID]SendFunc),
	}
}

// Current returns the configuration in force, or nil before the first one.
func (f *Follower) Current() *config.View { return f.replica.Current() }

// Age returns the time since the revision in force was last confirmed.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Age(f.cfg.Clock.Now())
}

// Watch calls fn after each change of the configuration in force, one call at
// a time. It is called before the first connection.
func (f *Follower) Watch(fn func(*config.View)) { f.watchers = append(f.watchers, fn) }

// SetConfigFields sets the configuration fields of a heartbeat.
func (f *Follower) SetConfigFields(beat *wire.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stamp(beat)
}

func (f *Follower) stamp(beat *wire.Heartbeat) {
	head := f.replica.Head()
	beat.ConfigRevision = head.Number
	beat.ConfigDigest = head.Digest
	beat.ConfigAgeMillis = f.replica.Age(f.cfg.Clock.Now()).Milliseconds()
}

// PeerConnected adds a peer. Leaf marks a connection between an entry and an agent:
// agents pass nothing on, so they hear of changes from one entry only.
func (f *Follower) PeerConnected(id config.PeerID, leaf bool, send SendFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends[id] = send
	f.peers.Add(id, leaf)
}

// PeerLost removes a peer whose connection ended.
func (f *Follower) PeerLost(id config.PeerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sends, id)
	f.peers.Remove(id)
}

// HandleHeartbeat takes the configuration fields of a peer's heartbeat.
func (f *Follower) HandleHeartbeat(id config.PeerID, beat *wire.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	head := config.Head{Number: beat.ConfigRevision, Digest: beat.ConfigDigest}
	age := time.Duration(beat.ConfigAgeMillis) * time.Millisecond
	if _, err := f.replica.ObserveHead(head, age, now); err != nil {
		f.refuse(id, err)
		return
	}
	f.peers.ObserveHead(id, head)
	f.fetch(now)
}

func (f *Follower) refuse(id config.PeerID, err error) {
	f.peers.Reject(id)
	f.cfg.Log.Log(eventlog.ConfigRejected, "peer", id.Instance, "err", err)
}

// fetch asks the best peer for revisions that this process lacks.
func (f *Follower) fetch(now time.Time) {
	head := f.replica.Head()
	id, ok := f.peers.StartFetch(head, now)
	if !ok {
		return
	}
	if send := f.sends[id]; send != nil {
		_ = send(&wire.ConfigFetch{After: head.Number})
	}
}

// HandleFetch sends a peer the revisions that it lacks.
func (f *Follower) HandleFetch(id config.PeerID, m *wire.ConfigFetch, send SendFunc) {
	f.mu.Lock()
	f.peers.MarkFetching(id)
	revisions, err := f.replica.RevisionsAfter(m.After)
	f.mu.Unlock()
	if err == nil {
		_ = send(&wire.ConfigDelta{Revisions: revisions})
	}
}

// HandleDelta takes revisions that a peer sent.
func (f *Follower) HandleDelta(id config.PeerID, m *wire.ConfigDelta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	f.peers.FetchAnswered(id)
	before := f.replica.Current()
	if _, err := f.replica.Apply(m.Revisions, now); err != nil && config.IsDamaged(err) {
		f.refuse(id, err)
	}
	f.spread(before, now)
	f.fetch(now)
}

// Tick advances time-driven work; it is called a few times per second.
func (f *Follower) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	before := f.replica.Current()
	f.replica.Tick(now)
	f.spread(before, now)
	f.announce(now)
	f.fetch(now)
	f.checkAge(now)
}

// checkAge reports once when the configuration in force gets too old.
func (f *Follower) checkAge(now time.Time) {
	age := f.replica.Age(now)
	stale := f.replica.Current() != nil && age > staleAfter
	if stale && !f.stale {
		f.cfg.Log.Log(eventlog.ConfigStale, "revision", f.replica.Head().Number, "age", age)
	}
	f.stale = stale
}

// spread tells watchers and peers about a configuration that has just come in
// force.
func (f *Follower) spread(before *config.View, now time.Time) {
	view := f.replica.Current()
	if view == nil || view == before {
		return
	}
	f.cfg.Log.Log(eventlog.ConfigApplied, "revision", view.Head.Number, "digest", view.Head.Digest.Short())
	for _, watch := range f.watchers {
		watch(view)
	}
	f.announce(now)
}

func (f *Follower) announce(now time.Time) {
	head := f.replica.Head()
	for _, id := range f.peers.AnnounceTargets(head, now) {
		send := f.sends[id]
		if send == nil {
			continue
		}
		beat := f.cfg.Heartbeat()
		f.stamp(&beat)
		_ = send(&beat)
		f.peers.MarkAnnounced(id, head, now)
	}
}
