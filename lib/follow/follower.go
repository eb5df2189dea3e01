// Package follow keeps one process's replica of the configuration up to date,
// from the store and from connections to other processes. Entries and agents
// both use it; only entries poll the store.
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

// Config holds the dependencies of a Follower.
type Config struct {
	Clock clock.Clock
	Rand  *rand.Rand
	Log   *eventlog.Logger
	// Heartbeat returns a heartbeat of the process without the configuration
	// fields. It is sent immediately to peers that don't know a new revision yet.
	Heartbeat func() wire.Heartbeat
}

// Follower keeps the configuration of one process up to date. It is safe for
// concurrent use, except for Watch.
type Follower struct {
	cfg     Config
	replica *config.Replica

	mu       sync.Mutex
	peers    *config.Peers
	senders  map[config.PeerID]SendFunc
	watchers []func(*config.View)
	// staleReported is set while the configuration is older than staleAfter.
	staleReported bool
}

// staleAfter is the age at which an unconfirmed configuration is reported. A
// change must be in force everywhere within 9 s; the rest allows for a lost poll
// and a lost heartbeat.
const staleAfter = 15 * time.Second

// New returns a Follower without a configuration.
func New(cfg Config) *Follower {
	return &Follower{
		cfg:     cfg,
		replica: config.NewReplica(config.ReplicaConfig{}, cfg.Clock.Now()),
		peers:   config.NewPeers(config.PeersConfig{}, cfg.Rand),
		senders: make(map[config.PeerID]SendFunc),
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

// Watch registers fn to be called after each change of the configuration in
// force, one call at a time. It must be called before the first connection.
func (f *Follower) Watch(fn func(*config.View)) { f.watchers = append(f.watchers, fn) }

// SetConfigFields sets the configuration fields of a heartbeat.
func (f *Follower) SetConfigFields(beat *wire.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setConfigFields(beat)
}

func (f *Follower) setConfigFields(beat *wire.Heartbeat) {
	head := f.replica.Head()
	beat.ConfigRevision = head.Number
	beat.ConfigDigest = head.Digest
	beat.ConfigAgeMillis = f.replica.Age(f.cfg.Clock.Now()).Milliseconds()
}

// PeerConnected adds a peer. leaf marks a connection between an entry and an
// agent. Agents don't forward revisions, so one entry suffices to tell them
// about a change.
func (f *Follower) PeerConnected(id config.PeerID, leaf bool, send SendFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders[id] = send
	f.peers.Add(id, leaf)
}

// PeerLost removes a peer whose connection ended.
func (f *Follower) PeerLost(id config.PeerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.senders, id)
	f.peers.Remove(id)
}

// HandleHeartbeat processes the configuration fields of a peer's heartbeat.
func (f *Follower) HandleHeartbeat(id config.PeerID, beat *wire.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	head := config.Head{Number: beat.ConfigRevision, Digest: beat.ConfigDigest}
	age := time.Duration(beat.ConfigAgeMillis) * time.Millisecond
	if _, err := f.replica.ObserveHead(head, age, now); err != nil {
		f.reject(id, err)
		return
	}
	f.peers.ObserveHead(id, head)
	f.requestRevisions(now)
}

func (f *Follower) reject(id config.PeerID, err error) {
	f.peers.Reject(id)
	f.cfg.Log.Log(eventlog.ConfigRejected, "peer", id.Instance, "err", err)
}

// requestRevisions requests missing revisions from the best peer.
func (f *Follower) requestRevisions(now time.Time) {
	head := f.replica.Head()
	id, ok := f.peers.StartFetch(head, now)
	if !ok {
		return
	}
	if send := f.senders[id]; send != nil {
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

// HandleDelta applies revisions from a peer.
func (f *Follower) HandleDelta(id config.PeerID, m *wire.ConfigDelta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	f.peers.FetchAnswered(id)
	before := f.replica.Current()
	if _, err := f.replica.Apply(m.Revisions, now); err != nil && config.IsDamaged(err) {
		f.reject(id, err)
	}
	f.publishIfChanged(before, now)
	f.requestRevisions(now)
}

// Tick does time-driven work. The caller calls it several times per second.
func (f *Follower) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	before := f.replica.Current()
	f.replica.Tick(now)
	f.publishIfChanged(before, now)
	f.announceHead(now)
	f.requestRevisions(now)
	f.logIfStale(now)
}

// logIfStale logs once when the configuration in force becomes too old.
func (f *Follower) logIfStale(now time.Time) {
	age := f.replica.Age(now)
	stale := f.replica.Current() != nil && age > staleAfter
	if stale && !f.staleReported {
		f.cfg.Log.Log(eventlog.ConfigStale, "revision", f.replica.Head().Number, "age", age)
	}
	f.staleReported = stale
}

// publishIfChanged notifies watchers and peers if the configuration in force
// differs from before.
func (f *Follower) publishIfChanged(before *config.View, now time.Time) {
	view := f.replica.Current()
	if view == nil || view == before {
		return
	}
	f.cfg.Log.Log(eventlog.ConfigApplied, "revision", view.Head.Number, "digest", view.Head.Digest.Short())
	for _, watch := range f.watchers {
		watch(view)
	}
	f.announceHead(now)
}

func (f *Follower) announceHead(now time.Time) {
	head := f.replica.Head()
	for _, id := range f.peers.AnnounceTargets(head, now) {
		send := f.senders[id]
		if send == nil {
			continue
		}
		beat := f.cfg.Heartbeat()
		f.setConfigFields(&beat)
		_ = send(&beat)
		f.peers.MarkAnnounced(id, head, now)
	}
}
