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

// Service is the tracker component of one entry.
type Service struct {
	cfg Config

	mu           sync.Mutex
	rand         *rand.Rand
	versions     map[model.Digest]*version
	coordinators map[string]*rollout.Coordinator // by pool
}

// New returns a Service without agents.
func New(cfg Config) *Service {
	cfg.applyDefaults()
	return &Service{
		cfg:          cfg,
		rand:         rand.New(rand.NewSource(cfg.Seed)),
		versions:     make(map[model.Digest]*version),
		coordinators: make(map[string]*rollout.Coordinator),
	}
}

// Serve handles the messages of a connection until it fails and returns the
// error. The handshake must be complete.
func (s *Service) Serve(conn *wire.Conn, hello wire.Hello) error {
	session := s.Attach(hello, conn)
	defer session.Detach()
	for {
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		session.Handle(m)
	}
}

// Attach returns a Session for a connection whose handshake is complete. It is
// for callers that read the connection themselves; they must call Detach when
// it ends.
func (s *Service) Attach(hello wire.Hello, sender Sender) *Session {
	return &Session{service: s, identity: hello.Identity, pool: hello.Pool, sender: sender}
}

// detach removes a session from all versions. It releases the agent's grants and
// assigns the chunks to other agents.
func (s *Service) detach(session *Session) {
	s.mu.Lock()
	var out []outgoing
	for _, v := range s.versions {
		if v.sessions[session.identity.Address] != session {
			continue // replaced by a newer connection
		}
		delete(v.sessions, session.identity.Address)
		delete(v.pendingAnnounces, session.identity.Address)
		if v.tracker != nil {
			v.tracker.RemoveAgent(session.identity.Address)
			out = append(out, s.schedule(v)...)
		}
		// An agent that has all chunks disconnects when it stops or changes its
		// target version, so only a disconnect before that is a loss.
		if v.statuses[session.identity.Instance].Status.Phase < wire.PhaseVerified {
			s.cfg.Log.Log(eventlog.TransferPeerLost, "instance", session.identity.Instance, "manifest", v.digest.Short())
		}
		delete(v.statuses, session.identity.Instance)
	}
	s.mu.Unlock()
	s.send(out)
}

// handle processes a message under the lock and sends the answers afterwards. It
// reports whether trackers handle messages of this type.
func (s *Service) handle(session *Session, m wire.Message) bool {
	s.mu.Lock()
	out, ok := s.dispatch(session, m)
	s.mu.Unlock()
	s.send(out)
	return ok
}

// dispatch processes a message and returns the answers. The caller holds s.mu.
func (s *Service) dispatch(session *Session, m wire.Message) ([]outgoing, bool) {
	switch m := m.(type) {
	case *wire.HolderSummary:
		return s.handleSummary(session, m), true
	case *wire.Announce:
		return s.handleAnnounce(session, m), true
	case *wire.ManifestFetch:
		return s.handleManifestFetch(session, m.Manifest), true
	case *wire.ManifestData:
		return s.handleManifestData(m), true
	case *wire.TransferStatus:
		s.handleStatus(session, m)
		return nil, true
	case *wire.LoadPermitFetch:
		return []outgoing{{session, s.requestPermit(session, m.Manifest)}}, true
	case *wire.ManifestRefused:
		return nil, true
	default:
		return nil, false
	}
}

func (s *Service) send(out []outgoing) {
	for _, o := range out {
		if err := o.to.sender.TrySend(o.message); err != nil {
			// The agent does not read its messages. Release its grants now
			// instead of waiting until they expire.
			o.to.Detach()
		}
	}
}

// touchVersion returns the state of a version, creating it if needed, and
// updates the time when it was last seen.
func (s *Service) touchVersion(digest model.Digest) *version {
	v, ok := s.versions[digest]
	if !ok {
		v = &version{
			digest:           digest,
			pendingAnnounces: make(map[string]*wire.Announce),
			sessions:         make(map[string]*Session),
			statuses:         make(map[model.InstanceID]wire.InstanceStatus),
		}
		s.versions[digest] = v
	}
	v.lastSeen = s.cfg.Clock.Now()
	return v
}

// handleAnnounce updates an agent's state. Every announcement is answered with an
// Assign or, while the manifest is unknown, with a request for the manifest.
func (s *Service) handleAnnounce(session *Session, a *wire.Announce) []outgoing {
	v := s.touchVersion(a.Manifest)
	if old, ok := v.sessions[session.identity.Address]; ok && old != session && v.tracker != nil {
		// Assignments sent over the earlier connection may have been lost.
		v.tracker.RemoveAgent(session.identity.Address)
	}
	v.sessions[session.identity.Address] = session
	session.sequence = a.Sequence
	if v.tracker == nil {
		v.pendingAnnounces[session.identity.Address] = a
		return []outgoing{{session, &wire.ManifestFetch{Manifest: a.Manifest}}}
	}
	now := s.cfg.Clock.Now()
	report := v.tracker.HandleAnnounce(now, session.identity, a)
	s.logReport(session, report)
	out := s.schedule(v)
	reply := &wire.Assign{Manifest: a.Manifest, ReannounceMillis: v.tracker.RetryInterval().Milliseconds(), Sequence: session.sequence}
	i := slices.IndexFunc(out, func(o outgoing) bool { return o.to == session })
	if i < 0 {
		out = append(out, outgoing{session, reply})
	} else {
		reply = out[i].message.(*wire.Assign)
	}
	// Send new peers soon: an agent that loses its tracker early in a transfer
	// needs them.
	count := v.tracker.PeerCount()
	if elapsed := now.Sub(session.peersSentAt); elapsed >= s.cfg.PeerListInterval || count > session.peersSentCount && elapsed >= s.cfg.PeerListInterval/10 {
		session.peersSentAt, session.peersSentCount = now, count
		reply.Peers = v.tracker.PeersFor(session.identity.Address)
	}
	return out
}

// logReport logs the problems that an announcement revealed.
func (s *Service) logReport(session *Session, report distribute.AnnounceReport) {
	for _, source := range report.CorruptSources {
		s.cfg.Log.Log(eventlog.ChunkCorrupt, "instance", session.identity.Instance, "source", source)
	}
	for _, source := range report.FailedSources {
		s.cfg.Log.Log(eventlog.TransferStalled, "instance", session.identity.Instance, "source", source)
	}
	if report.OutdatedResults > 0 {
		s.cfg.Log.Log(eventlog.GrantExpired, "instance", session.identity.Instance, "count", report.OutdatedResults)
	}
}

// schedule returns the new assignments of a version for connected agents.
func (s *Service) schedule(v *version) []outgoing {
	var out []outgoing
	for _, d := range v.tracker.Schedule(s.cfg.Clock.Now()) {
		if session, ok := v.sessions[d.Address]; ok {
			d.Assign.Sequence = session.sequence
			out = append(out, outgoing{session, d.Assign})
		}
	}
	return out
}

// Tick removes expired grants, silent agents and idle versions. The entry
// calls it several times per second.
func (s *Service) Tick() {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	var out []outgoing
	for digest, v := range s.versions {
		if now.Sub(v.lastSeen) > s.cfg.IdleVersionTimeout {
			delete(s.versions, digest)
			continue
		}
		if v.tracker != nil {
			for _, address := range v.tracker.Tick(now) {
				delete(v.sessions, address)
			}
			out = append(out, s.schedule(v)...)
		}
	}
	s.mu.Unlock()
	s.send(out)
}

// Summaries returns a summary of each version for other trackers. Several times
// per second the entry sends each summary to the first entry, in the
// rendezvous order of the manifest, of each other failure domain, and to the
// first two other entries of its own. The latter is because agents that cannot
// reach the first entry announce to the second, which must not fetch everything
// from the origin again.
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

// handleSummary processes the summary of another tracker. It is ignored if no
// agent has announced the version here.
func (s *Service) handleSummary(session *Session, m *wire.HolderSummary) []outgoing {
	v, ok := s.versions[m.Manifest]
	if !ok || v.tracker == nil {
		return nil
	}
	v.tracker.UpdateRemote(s.cfg.Clock.Now(), session.identity.Address, m)
	return s.schedule(v)
}

func (s *Service) newTracker(digest model.Digest, m *weights.Manifest) *distribute.Tracker {
	cfg := s.cfg.Tracker
	cfg.Digest, cfg.Manifest, cfg.Location = digest, m, s.cfg.Location
	cfg.Policy = s.cfg.Policy(digest)
	cfg.Rand = rand.New(rand.NewSource(s.rand.Int63()))
	return distribute.NewTracker(s.cfg.Clock.Now(), cfg)
}
