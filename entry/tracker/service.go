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
	sessions map[string]*session // by peer address
	versions map[model.Digest]*version
	waves    map[string]*rollout.Waves // by pool
}

// New returns a Service without agents.
func New(cfg Config) *Service {
	cfg.applyDefaults()
	return &Service{
		cfg:      cfg,
		rand:     rand.New(rand.NewSource(cfg.Seed)),
		sessions: make(map[string]*session),
		versions: make(map[model.Digest]*version),
		waves:    make(map[string]*rollout.Waves),
	}
}

// Serve handles an agent's connection until it fails. The handshake is done.
func (s *Service) Serve(conn *wire.Conn, hello wire.Hello) error {
	s.Attach(hello, conn)
	defer s.Detach(hello.Identity, conn)
	for {
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		s.Handle(hello.Identity, m)
	}
}

// Attach registers an agent's connection. A newer one replaces it.
func (s *Service) Attach(hello wire.Hello, sender Sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[hello.Identity.Address] = &session{identity: hello.Identity, pool: hello.Pool, sender: sender}
}

// Detach forgets an agent whose connection ended, unless a newer one has
// replaced it.
func (s *Service) Detach(identity model.Identity, sender Sender) {
	s.mu.Lock()
	var out []outgoing
	if c, ok := s.sessions[identity.Address]; ok && c.sender == sender {
		delete(s.sessions, identity.Address)
		for _, v := range s.versions {
			delete(v.pending, identity.Address)
			if v.tracker != nil {
				v.tracker.Lost(identity.Address)
				out = append(out, s.schedule(v)...)
			}
		}
		s.cfg.Log.Log(eventlog.TransferPeerLost, "instance", identity.Instance)
	}
	s.mu.Unlock()
	s.send(out)
}

// Handle takes one message of an attached agent or, for HolderSummary and
// RolloutFetch, of another entry. It reports whether the message is one that
// belongs to the tracker.
func (s *Service) Handle(from model.Identity, m wire.Message) bool {
	s.mu.Lock()
	out, ok := s.handle(from, m)
	s.mu.Unlock()
	s.send(out)
	return ok
}

func (s *Service) handle(from model.Identity, m wire.Message) ([]outgoing, bool) {
	c := s.sessions[from.Address]
	switch m := m.(type) {
	case *wire.HolderSummary:
		return s.summary(from, m), true
	case *wire.Announce:
		if c != nil {
			return s.announce(c, m), true
		}
	case *wire.ManifestFetch:
		if c != nil {
			return s.manifestFetch(c, m.Manifest), true
		}
	case *wire.ManifestData:
		return s.manifestData(m), true
	case *wire.ManifestRefused:
	case *wire.TransferStatus:
		s.status(from, c, m)
	case *wire.LoadPermitFetch:
		if c != nil {
			return []outgoing{{c, s.permit(c, m.Manifest)}}, true
		}
	default:
		return nil, false
	}
	return nil, true
}

func (s *Service) send(out []outgoing) {
	for _, o := range out {
		if err := o.to.sender.TrySend(o.message); err != nil {
			// The agent does not read. Its grants must not wait for expiry.
			s.Detach(o.to.identity, o.to.sender)
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
			status:  make(map[model.InstanceID]wire.InstanceStatus),
		}
		s.versions[digest] = v
	}
	v.seen = s.cfg.Clock.Now()
	return v
}

func (s *Service) announce(c *session, a *wire.Announce) []outgoing {
	v := s.version(a.Manifest)
	if v.tracker == nil {
		v.pending[c.identity.Address] = a
		return []outgoing{{c, &wire.ManifestFetch{Manifest: a.Manifest}}}
	}
	now := s.cfg.Clock.Now()
	n := v.tracker.Announce(now, c.identity, a)
	s.notice(c, n)
	out := s.schedule(v)
	reply := &wire.Assign{Manifest: a.Manifest, RetryMillis: v.tracker.Retry().Milliseconds()}
	i := slices.IndexFunc(out, func(o outgoing) bool { return o.to == c })
	if i < 0 {
		out = append(out, outgoing{c, reply})
	} else {
		reply = out[i].message.(*wire.Assign)
	}
	if now.Sub(c.peersSent) >= s.cfg.PeersEvery {
		c.peersSent = now
		reply.Peers = v.tracker.Reply(c.identity.Address).Peers
	}
	return out
}

func (s *Service) notice(c *session, n distribute.Notice) {
	for _, source := range n.Corrupt {
		s.cfg.Log.Log(eventlog.ChunkCorrupt, "instance", c.identity.Instance, "source", source)
	}
	for _, source := range n.Stalled {
		s.cfg.Log.Log(eventlog.LinkStalled, "instance", c.identity.Instance, "source", source)
	}
	if n.Outdated > 0 {
		s.cfg.Log.Log(eventlog.GrantOutdated, "instance", c.identity.Instance, "count", n.Outdated)
	}
}

func (s *Service) schedule(v *version) []outgoing {
	var out []outgoing
	for _, d := range v.tracker.Schedule(s.cfg.Clock.Now()) {
		if c, ok := s.sessions[d.Address]; ok {
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
		if now.Sub(v.seen) > s.cfg.ForgetAfter {
			delete(s.versions, digest)
			continue
		}
		if v.tracker != nil {
			v.tracker.Tick(now)
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
		if v.tracker != nil && v.tracker.Peers() > 0 {
			out = append(out, v.tracker.Summarize())
		}
	}
	return out
}

// summary takes the summary of another tracker. A version that no agent has
// announced here needs none.
func (s *Service) summary(from model.Identity, m *wire.HolderSummary) []outgoing {
	v, ok := s.versions[m.Manifest]
	if !ok || v.tracker == nil {
		return nil
	}
	v.tracker.Remote(s.cfg.Clock.Now(), from.Address, m)
	return s.schedule(v)
}

func (s *Service) newTracker(digest model.Digest, m *weights.Manifest) *distribute.Tracker {
	cfg := s.cfg.Tracker
	cfg.Digest, cfg.Manifest, cfg.Location = digest, m, s.cfg.Location
	cfg.Policy = s.cfg.Policy(digest)
	cfg.Rand = rand.New(rand.NewSource(s.rand.Int63()))
	return distribute.NewTracker(s.cfg.Clock.Now(), cfg)
}
