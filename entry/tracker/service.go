package tracker

import (
	"math/rand"
	"slices"
	"sync"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Service is the tracker role of one entry.
type Service struct {
	cfg Config

	mu       sync.Mutex
	rand     *rand.Rand
	versions map[model.Digest]*version
	waves    map[string]*rollout.Coordinator // by pool
}

// New returns a Service without agents.
func New(cfg Config) *Service {
	cfg.applyDefaults()
	return &Service{
		cfg:      cfg,
		rand:     rand.New(rand.NewSource(cfg.Seed)),
		versions: make(map[model.Digest]*version),
		waves:    make(map[string]*rollout.Coordinator),
	}
}

// Serve handles a connection until it fails. The handshake is done.
func (s *Service) Serve(conn *wire.Conn, hello wire.Hello) error {
	c := s.Attach(hello, conn)
	defer c.Detach()
	for {
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		c.Handle(m)
	}
}

// Attach registers a connection whose handshake is done, for callers that read
// the connection themselves.
func (s *Service) Attach(hello wire.Hello, sender Sender) *Session {
	return &Session{service: s, identity: hello.Identity, pool: hello.Pool, sender: sender}
}

func (s *Service) detach(c *Session) {
	s.mu.Lock()
	var out []outgoing
	for _, v := range s.versions {
		if v.members[c.identity.Address] != c {
			continue // a newer connection has replaced it
		}
		delete(v.members, c.identity.Address)
		delete(v.pending, c.identity.Address)
		if v.tracker != nil {
			v.tracker.RemoveAgent(c.identity.Address)
			out = append(out, s.schedule(v)...)
		}
		// An agent also leaves the tracker of a version that it has, when it stops
		// or when another version is wanted.
		if v.status[c.identity.Instance].Status.Phase < wire.PhaseVerified {
			s.cfg.Log.Log(eventlog.TransferPeerLost, "instance", c.identity.Instance, "manifest", v.digest.Short())
		}
		delete(v.status, c.identity.Instance)
	}
	s.mu.Unlock()
	s.send(out)
}

func (s *Service) handleLocked(c *Session, m wire.Message) bool {
	s.mu.Lock()
	out, ok := s.handle(c, m)
	s.mu.Unlock()
	s.send(out)
	return ok
}

func (s *Service) handle(c *Session, m wire.Message) ([]outgoing, bool) {
	switch m := m.(type) {
	case *wire.HolderSummary:
		return s.summary(c, m), true
	case *wire.Announce:
		return s.announce(c, m), true
	case *wire.ManifestFetch:
		return s.manifestFetch(c, m.Manifest), true
	case *wire.ManifestData:
		return s.manifestData(m), true
	case *wire.TransferStatus:
		s.status(c, m)
		return nil, true
	case *wire.LoadPermitFetch:
		return []outgoing{{c, s.permit(c, m.Manifest)}}, true
	case *wire.ManifestRefused:
		return nil, true
	default:
		return nil, false
	}
}

func (s *Service) send(out []outgoing) {
	for _, o := range out {
		if err := o.to.sender.TrySend(o.message); err != nil {
			// The agent does not read. Its grants must not wait for expiry.
			o.to.Detach()
		}
	}
}

// version returns the state of a manifest and marks it as seen.
func (s *Service) version(digest model.Digest) *version {
	v, ok := s.versions[digest]
	if !ok {
		v = &version{
			digest:  digest,
			pending: make(map[string]*wire.Announce),
			members: make(map[string]*Session),
			status:  make(map[model.InstanceID]wire.InstanceStatus),
		}
		s.versions[digest] = v
	}
	v.seen = s.cfg.Clock.Now()
	return v
}

func (s *Service) announce(c *Session, a *wire.Announce) []outgoing {
	v := s.version(a.Manifest)
	if old, ok := v.members[c.identity.Address]; ok && old != c && v.tracker != nil {
		// What was granted over the earlier connection may not have arrived.
		v.tracker.RemoveAgent(c.identity.Address)
	}
	v.members[c.identity.Address] = c
	c.sequence = a.Sequence
	if v.tracker == nil {
		v.pending[c.identity.Address] = a
		return []outgoing{{c, &wire.ManifestFetch{Manifest: a.Manifest}}}
	}
	now := s.cfg.Clock.Now()
	n := v.tracker.HandleAnnounce(now, c.identity, a)
	s.notice(c, n)
	out := s.schedule(v)
	reply := &wire.Assign{Manifest: a.Manifest, RetryMillis: v.tracker.RetryInterval().Milliseconds(), Sequence: c.sequence}
	i := slices.IndexFunc(out, func(o outgoing) bool { return o.to == c })
	if i < 0 {
		out = append(out, outgoing{c, reply})
	} else {
		reply = out[i].message.(*wire.Assign)
	}
	// New peers are named soon: an agent that loses its tracker early in a
	// transfer needs them.
	known := v.tracker.PeerCount()
	if since := now.Sub(c.peersSent); since >= s.cfg.PeerListInterval || known > c.peersKnown && since >= s.cfg.PeerListInterval/10 {
		c.peersSent, c.peersKnown = now, known
		reply.Peers = v.tracker.PeersFor(c.identity.Address)
	}
	return out
}

func (s *Service) notice(c *Session, n distribute.AnnounceReport) {
	for _, source := range n.CorruptSources {
		s.cfg.Log.Log(eventlog.ChunkCorrupt, "instance", c.identity.Instance, "source", source)
	}
	for _, source := range n.FailedSources {
		s.cfg.Log.Log(eventlog.TransferStalled, "instance", c.identity.Instance, "source", source)
	}
	if n.OutdatedResults > 0 {
		s.cfg.Log.Log(eventlog.GrantExpired, "instance", c.identity.Instance, "count", n.OutdatedResults)
	}
}

func (s *Service) schedule(v *version) []outgoing {
	var out []outgoing
	for _, d := range v.tracker.Schedule(s.cfg.Clock.Now()) {
		if c, ok := v.members[d.Address]; ok {
			d.Assign.Sequence = c.sequence
			out = append(out, outgoing{c, d.Assign})
		}
	}
	return out
}

// Tick expires grants, agents and versions. The daemon calls it a few times
// per second.
func (s *Service) Tick() {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	var out []outgoing
	for digest, v := range s.versions {
		if now.Sub(v.seen) > s.cfg.IdleVersionTimeout {
			delete(s.versions, digest)
			continue
		}
		if v.tracker != nil {
			for _, address := range v.tracker.Tick(now) {
				delete(v.members, address)
			}
			out = append(out, s.schedule(v)...)
		}
	}
	s.mu.Unlock()
	s.send(out)
}

// Summaries returns what other trackers need to know. The daemon sends each, a
// few times per second, to the entry that comes first in the rendezvous order
// of the manifest among the entries of each other failure domain, and to the
// first two of its own other than itself: agents that cannot reach the first
// announce to the second, which must not fetch everything from the origin again.
func (s *Service) Summaries() []*wire.HolderSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.HolderSummary
	for _, v := range s.versions {
		if v.tracker != nil && v.tracker.PeerCount() > 0 {
			out = append(out, v.tracker.Summarize())
		}
	}
	return out
}

// summary takes the summary of another tracker. A version that no agent has
// announced here needs none.
func (s *Service) summary(c *Session, m *wire.HolderSummary) []outgoing {
	v, ok := s.versions[m.Manifest]
	if !ok || v.tracker == nil {
		return nil
	}
	v.tracker.UpdateRemote(s.cfg.Clock.Now(), c.identity.Address, m)
	return s.schedule(v)
}

func (s *Service) newTracker(digest model.Digest, m *weights.Manifest) *distribute.Tracker {
	cfg := s.cfg.Tracker
	cfg.Digest, cfg.Manifest, cfg.Location = digest, m, s.cfg.Location
	cfg.Policy = s.cfg.Policy(digest)
	cfg.Rand = rand.New(rand.NewSource(s.rand.Int63()))
	return distribute.NewTracker(s.cfg.Clock.Now(), cfg)
}
