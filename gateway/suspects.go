package gateway

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/placement"
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
	// maxCrashCredit is the number of crashes that earlier responses excuse: popular
	// content may be in flight on many servers that are crashed by other requests.
	maxCrashCredit = 16
)

// quarantinedReason is the reason for refusing a quarantined request.
const quarantinedReason placement.Reason = "quarantined"

// Signs that a backend server has ended, as logged.
const (
	signConnectionRefused = "its address refuses connections"
	signAddressReused     = "a later start has its address"
	signRowDeleted        = "its row is gone"
)

// suspects tracks the contents during which backend servers have crashed. Plain
// services have no agent that would report a crash: an entry sees connections that
// end before the response, and later signs that the server has ended. It is guarded
// by the Gateway's mutex.
type suspects struct {
	monitor    *poison.Monitor
	attributor *poison.Attributor
	// pendingServers are the servers with interrupted exchanges for which no sign has
	// been seen yet.
	pendingServers map[model.InstanceID]directory.Key
	// quarantined are the contents whose quarantine was logged.
	quarantined map[model.Fingerprint]bool
}

func newSuspects() *suspects {
	return &suspects{
		monitor:    poison.New(poison.Config{MaxSuspects: maxSuspects, MaxKnownGood: maxKnownGood, MaxCredit: maxCrashCredit, QuarantineCrashes: quarantineCrashes}, "", 0),
		attributor: poison.NewAttributor(), pendingServers: make(map[model.InstanceID]directory.Key), quarantined: make(map[model.Fingerprint]bool),
	}
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

// quarantineRefusal returns the refusal of a request whose content is quarantined,
// or nil.
func (r *request) quarantineRefusal() *placement.Refusal {
	crashes, until := r.crashes()
	if crashes < quarantineCrashes {
		return nil
	}
	return &placement.Refusal{Reason: quarantinedReason, RetryAfter: until.Sub(r.gateway.now())}
}

// crashes returns the number of backend servers that have crashed with the request's
// content, and when the last of these crashes expires.
func (r *request) crashes() (int, time.Time) {
	g := r.gateway
	g.mu.Lock()
	none := g.suspects.monitor.SuspectCount() == 0
	g.mu.Unlock()
	if none {
		return 0, time.Time{}
	}
	content := r.fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.monitor.Crashes(g.now(), content)
}

// recordUnreachable records a failed connection to a backend server. A refused one
// is a sign that the server has ended.
func (g *Gateway) recordUnreachable(server *directory.Server, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	publish := g.recordServerEnd(server.Key(), signConnectionRefused)
	g.mu.Unlock()
	publish()
}

// recordAnswered records a whole response to a content, which clears it.
func (g *Gateway) recordAnswered(content model.Fingerprint) {
	g.mu.Lock()
	update := g.suspects.monitor.Answered(g.now(), content)
	g.mu.Unlock()
	g.broadcastSuspects(update)
}

// recordServerEnd records that a backend server has ended, and attributes the end to
// its interrupted exchanges. The caller holds mu, and calls publish after releasing
// it.
func (g *Gateway) recordServerEnd(server directory.Key, sign string) (publish func()) {
	contents := g.suspects.attributor.Ended(g.now(), incarnationID(server))
	if len(contents) == 0 {
		return func() {}
	}
	g.config.Log.Log(eventlog.ServerCrashed, "server", server.ID, "born", server.StartUnixMilli, "sign", sign, "requests", len(contents))
	return g.recordCrash(server, contents)
}

// recordCrash attributes the crash of a backend server to contents. The caller holds
// mu, and calls publish after releasing it.
func (g *Gateway) recordCrash(server directory.Key, contents []model.Fingerprint) (publish func()) {
	now := g.now()
	update := g.suspects.monitor.Crashed(now, incarnationID(server), 0, wire.CrashReport{InFlight: contents})
	g.logQuarantined(now, contents)
	return func() { g.broadcastSuspects(update) }
}

// recordAlive records that a backend server was alive at a given time, which takes
// back an earlier report of its end. The caller holds mu, and calls publish after
// releasing it.
func (g *Gateway) recordAlive(server directory.Key, at time.Time) (publish func()) {
	if g.suspects.attributor.EndCount() == 0 || !g.suspects.attributor.MarkAlive(incarnationID(server), at) {
		return func() {}
	}
	g.config.Log.Log(eventlog.ServerAlive, "server", server.ID, "born", server.StartUnixMilli)
	update := g.suspects.monitor.Survived(g.now(), incarnationID(server))
	return func() { g.broadcastSuspects(update) }
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

// mergeSuspects merges an update of another entry or an agent, and returns the part
// that was new.
func (g *Gateway) mergeSuspects(update *wire.SuspectUpdate) *wire.SuspectUpdate {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	fresh := g.suspects.monitor.Merge(now, *update)
	if fresh == nil {
		return nil
	}
	var contents []model.Fingerprint
	for _, s := range fresh.Suspects {
		contents = append(contents, s.Fingerprint)
		for _, in := range s.Incidents {
			if !in.Cleared {
				g.suspects.attributor.RecordEnd(now, in.Instance, now.Add(-milliseconds(in.AgeMillis)))
			}
		}
	}
	g.logQuarantined(now, contents)
	return fresh
}

// gossipToResend returns what is repeated at intervals: contents with which at least
// two servers have crashed, rate limits, and servers that are draining and still listed
// or became known to be recently.
func (g *Gateway) gossipToResend() *peerlink.Gossip {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.suspects.monitor.Tick(now)
	for content := range g.suspects.quarantined {
		if crashes, _ := g.suspects.monitor.Crashes(now, content); crashes < quarantineCrashes {
			delete(g.suspects.quarantined, content)
		}
	}
	gossip := &peerlink.Gossip{}
	if top := g.suspects.monitor.TopSuspects(now, quarantineCrashes-1, maxResent); top != nil {
		gossip.Suspects = *top
	}
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
)

// logQuarantined logs contents that are newly quarantined.
func (g *Gateway) logQuarantined(now time.Time, contents []model.Fingerprint) {
	for _, content := range contents {
		crashes, until := g.suspects.monitor.Crashes(now, content)
		if crashes < quarantineCrashes {
			delete(g.suspects.quarantined, content)
			continue
		}
		if g.suspects.quarantined[content] {
			continue
		}
		g.suspects.quarantined[content] = true
		g.config.Log.Log(eventlog.ContentQuarantined, "content", content, "servers", crashes, "until", until)
	}
}
