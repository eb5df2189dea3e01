package gateway

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/poison"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// quarantineCrashes is the number of backend servers that must crash while they run
	// a content before it is refused. A crash ends all requests on the server, so that
	// innocent ones often see one crash, and sometimes two.
	quarantineCrashes = 3
	// maxSuspects and maxKnownGood bound the contents that are remembered, at a few
	// hundred bytes each.
	maxSuspects  = 1024
	maxKnownGood = 1024
	// maxSuspectParts and maxSoundParts bound the parts of prompts that are remembered.
	maxSuspectParts = 1024
	maxSoundParts   = 4096
	// partSoundFor is the time after a response in which crashes do not count against the
	// parts of its prompt. A part may be in flight on all servers, which may crash together
	// and more than once; one that begins to crash servers is found this much later.
	partSoundFor = time.Minute
	// maxCrashCredit is the number of crashes that earlier responses excuse: popular
	// content may be in flight on many servers that are crashed by other requests.
	maxCrashCredit = 16
)

// Signs that a backend server has ended, as logged.
const (
	signConnectionRefused = "its address refuses connections"
	signAddressReused     = "a later start has its address"
	signRowDeleted        = "its row is gone"
)

// suspects tracks the contents during which backend servers have crashed, and the parts of
// prompts. Plain services have no agent that would report a crash: an entry sees
// connections that end before the response, and later signs that the server has ended. It
// is guarded by the Gateway's mutex.
type suspects struct {
	// crashTracker tracks whole contents.
	crashTracker
	// parts tracks the parts of prompts that several requests have.
	parts crashTracker
	// pendingServers are the servers with interrupted exchanges for which no sign has
	// been seen yet.
	pendingServers map[model.InstanceID]directory.Key
	// quarantined are the contents and parts whose quarantine was logged.
	quarantined map[model.Fingerprint]bool
}

// newSuspects returns the suspects of an entry, given its name and the time of its start.
func newSuspects(entry string, start time.Time) *suspects {
	contents := poison.Config{MaxSuspects: maxSuspects, MaxKnownGood: maxKnownGood, MaxCredit: maxCrashCredit, QuarantineCrashes: quarantineCrashes, Settle: trialSettle}
	parts := poison.Config{MaxSuspects: maxSuspectParts, MaxKnownGood: maxSoundParts, SoundFor: partSoundFor, QuarantineCrashes: quarantineCrashes, Settle: trialSettle}
	self, generation := model.InstanceID(entry), model.Generation(start.UnixMilli())
	return &suspects{
		crashTracker:   crashTracker{poison.New(contents, self, generation), poison.NewAttributor()},
		parts:          crashTracker{poison.New(parts, self, generation), poison.NewAttributor()},
		pendingServers: make(map[model.InstanceID]directory.Key), quarantined: make(map[model.Fingerprint]bool),
	}
}

// record records an interrupted exchange of a server. ended reports whether the server is
// known to have ended, so that the caller must record a crash at once. first reports
// whether it is the first pending exchange of the server.
func (s *suspects) record(now time.Time, server directory.Key, x subjects) (ended, first bool) {
	id := incarnationID(server)
	for _, part := range x.parts {
		s.parts.attributor.Interrupted(now, id, part)
	}
	if ended, first = s.attributor.Interrupted(now, id, x.content); !ended {
		s.pendingServers[id] = server
	}
	return ended, first
}

// addTo adds an update of one of the monitors to gossip; nil adds none.
func (s *suspects) addTo(gossip *peerlink.Gossip, monitor *poison.Monitor, update *wire.SuspectUpdate) {
	if monitor == s.monitor {
		gossip.AddSuspects(update)
		return
	}
	gossip.AddParts(update)
}

// suspected reports whether servers have crashed with the content or a part of an exchange.
func (s *suspects) suspected(now time.Time, x subjects) bool {
	if crashes, _ := s.monitor.Crashes(now, x.content); crashes > 0 {
		return true
	}
	return slices.ContainsFunc(x.parts, func(part model.Fingerprint) bool {
		crashes, _ := s.parts.monitor.Crashes(now, part)
		return crashes > 0
	})
}

// incarnationID identifies one incarnation of a backend server, as its ID may be
// reused.
func incarnationID(k directory.Key) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("%s/%d", k.ID, k.StartUnixMilli))
}

// pending returns the servers with interrupted exchanges for which no sign has been
// seen yet. It drops those whose exchanges have expired.
func (s *suspects) pending(now time.Time) []directory.Key {
	if len(s.pendingServers) == 0 {
		return nil
	}
	var keys []directory.Key
	waiting := make(map[model.InstanceID]directory.Key)
	for _, id := range s.attributor.Pending(now) {
		waiting[id] = s.pendingServers[id]
		keys = append(keys, s.pendingServers[id])
	}
	s.pendingServers = waiting
	return keys
}

// recordUnreachable records a failed connection to a backend server. A refused one
// is a sign that the server has ended.
func (g *Gateway) recordUnreachable(server *directory.Server, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	g.picker.WithdrawVerified(server.Key())
	publish := g.recordServerEnd(server.Key(), signConnectionRefused)
	g.mu.Unlock()
	publish()
}

// recordAnswered records a whole response to a request, which clears its content and the
// parts of its prompt.
func (g *Gateway) recordAnswered(x subjects) {
	gossip := &peerlink.Gossip{}
	g.mu.Lock()
	now := g.now()
	gossip.AddSuspects(g.suspects.monitor.Answered(now, x.content))
	for _, part := range x.parts {
		gossip.AddParts(g.suspects.parts.monitor.Answered(now, part))
	}
	g.mu.Unlock()
	g.broadcast(gossip)
}

// recordServerEnd records that a backend server has ended, and attributes the end to
// its interrupted exchanges. The caller holds mu, and calls publish after releasing
// it.
func (g *Gateway) recordServerEnd(server directory.Key, sign string) (publish func()) {
	now, id := g.now(), incarnationID(server)
	contents := g.suspects.attributor.Ended(now, id)
	parts := g.suspects.parts.attributor.Ended(now, id)
	if len(contents) == 0 {
		return func() {}
	}
	g.config.Log.Log(eventlog.ServerCrashed, "server", server.ID, "born", server.StartUnixMilli, "sign", sign, "requests", len(contents))
	return g.recordCrash(server, contents, parts)
}

// recordCrash attributes the crash of a backend server to contents and parts of prompts.
// The caller holds mu, and calls publish after releasing it.
func (g *Gateway) recordCrash(server directory.Key, contents, parts []model.Fingerprint) (publish func()) {
	now, id := g.now(), incarnationID(server)
	gossip := &peerlink.Gossip{}
	gossip.AddSuspects(g.suspects.monitor.Crashed(now, id, 0, wire.CrashReport{InFlight: contents}))
	gossip.AddParts(g.suspects.parts.monitor.Crashed(now, id, 0, wire.CrashReport{InFlight: parts}))
	g.logQuarantined(now, contents)
	return func() { g.broadcast(gossip) }
}

// recordAlive records that a backend server was alive at a given time, which takes
// back an earlier report of its end. The caller holds mu, and calls publish after
// releasing it.
func (g *Gateway) recordAlive(server directory.Key, at time.Time) (publish func()) {
	s := g.suspects
	if s.attributor.EndCount()+s.parts.attributor.EndCount() == 0 {
		return func() {}
	}
	id := incarnationID(server)
	contents, parts := s.attributor.MarkAlive(id, at), s.parts.attributor.MarkAlive(id, at)
	if !contents && !parts {
		return func() {}
	}
	g.config.Log.Log(eventlog.ServerAlive, "server", server.ID, "born", server.StartUnixMilli)
	gossip := &peerlink.Gossip{}
	gossip.AddSuspects(s.monitor.Survived(g.now(), id))
	gossip.AddParts(s.parts.monitor.Survived(g.now(), id))
	return func() { g.broadcast(gossip) }
}

// recordUnlistedEnds records the end of backend servers with interrupted exchanges
// whose rows are gone, or whose address belongs to a later incarnation. The caller
// holds mu, and calls publish after releasing it.
func (g *Gateway) recordUnlistedEnds() (publish func()) {
	var publishers []func()
	for _, server := range g.suspects.pending(g.now()) {
		listing := g.directory.Get(server)
		if listing == nil {
			publishers = append(publishers, g.recordServerEnd(server, signRowDeleted))
			continue
		}
		if latest := g.directory.ByAddress(listing.Address); latest != nil && latest != listing {
			publishers = append(publishers, g.recordServerEnd(server, signAddressReused))
		}
	}
	return func() {
		for _, publish := range publishers {
			publish()
		}
	}
}

// mergeSuspects merges what another entry or an agent knows about contents and parts of
// prompts, and adds the part that was new to fresh.
func (g *Gateway) mergeSuspects(gossip, fresh *peerlink.Gossip) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	contents := g.suspects.merge(now, &gossip.Suspects)
	fresh.AddSuspects(contents)
	fresh.AddParts(g.suspects.parts.merge(now, &gossip.Parts))
	if contents == nil {
		return
	}
	var fingerprints []model.Fingerprint
	for _, s := range contents.Suspects {
		fingerprints = append(fingerprints, s.Fingerprint)
	}
	g.logQuarantined(now, fingerprints)
}

// gossipToResend returns what is repeated at intervals: contents and parts of prompts with
// which at least two servers have crashed, parts against which crashes do not count, rate limits, and servers that are draining and still listed
// or became known to be recently.
func (g *Gateway) gossipToResend() *peerlink.Gossip {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	s := g.suspects
	s.monitor.Tick(now)
	s.parts.monitor.Tick(now)
	for fingerprint := range s.quarantined {
		contents, _ := s.monitor.Crashes(now, fingerprint)
		parts, _ := s.parts.monitor.Crashes(now, fingerprint)
		if max(contents, parts) < quarantineCrashes {
			delete(s.quarantined, fingerprint)
		}
	}
	gossip := &peerlink.Gossip{}
	gossip.AddSuspects(s.monitor.TopSuspects(now, quarantineCrashes-1, maxResent))
	gossip.AddParts(s.parts.monitor.TopSuspects(now, quarantineCrashes-1, maxResent))
	gossip.AddParts(s.parts.monitor.ClearedSince(now, now.Add(-clearedResendPeriod), maxClearedResent))
	gossip.Limits = g.limitsToResend(now)
	for _, server := range g.directory.DrainingToShare(now.Add(-drainResendPeriod), maxResent) {
		gossip.Draining = append(gossip.Draining, peerlink.ServerKey{ID: server.ID, StartUnixMilli: server.StartUnixMilli})
	}
	return gossip
}

const (
	// maxResent bounds the contents, and the servers, that are repeated in one message.
	maxResent = 20
	// drainResendPeriod is how long the drain of a server is repeated whose row is gone,
	// which covers a few lost datagrams.
	drainResendPeriod = 5 * time.Second
	// clearedResendPeriod is how long it is repeated that a crash does not count against a
	// part of prompts, for entries that have started since and have no responses of their
	// own yet. maxClearedResent bounds these parts.
	clearedResendPeriod = 30 * time.Second
	maxClearedResent    = 8
)
