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
	// quarantineCrashes is the number of backend servers that may end while they run
	// a content before it is refused. A server takes all its requests with it, so that
	// sound ones meet one crash often, and two now and then.
	quarantineCrashes = 3
	// maxSuspects and maxProven bound the contents that are remembered, at a few
	// hundred bytes each.
	maxSuspects = 1024
	maxProven   = 1024
	// answerCredit is the number of crashes that earlier answers excuse: content that
	// many callers ask for may be in flight on many servers that others end.
	answerCredit = 16
)

// quarantinedReason is the reason of a refusal.
const quarantinedReason placement.Reason = "quarantined"

// Signs that a backend server has ended, as they stand in log lines.
const (
	endedRefuses    = "its address refuses connections"
	endedLaterStart = "a later start has its address"
	endedUnlisted   = "its row is gone"
)

// suspects are the contents under which backend servers have ended. Plain services
// have no agent that would report a crash: an entry sees connections that end before
// their answers, and then signs that the server has ended. It belongs to the
// Gateway's mutex.
type suspects struct {
	monitor    *poison.Monitor
	attributor *poison.Attributor
	// starts are the keys of the servers whose exchanges wait for a sign.
	starts map[model.InstanceID]directory.Key
	// logged are the contents whose quarantine was logged.
	logged map[model.Fingerprint]bool
}

func newSuspects() *suspects {
	return &suspects{
		monitor:    poison.New(poison.Config{MaxSuspects: maxSuspects, MaxKnownGood: maxProven, MaxCredit: answerCredit, QuarantineCrashes: quarantineCrashes}, "", 0),
		attributor: poison.NewAttributor(), starts: make(map[model.InstanceID]directory.Key), logged: make(map[model.Fingerprint]bool),
	}
}

// startID names one start of a backend server, whose id may come back.
func startID(k directory.Key) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("%s/%d", k.ID, k.StartUnixMilli))
}

// pending returns the servers whose exchanges wait for a sign, and forgets the
// others.
func (s *suspects) pending(now time.Time) []directory.Key {
	if len(s.starts) == 0 {
		return nil
	}
	var keys []directory.Key
	waiting := make(map[model.InstanceID]directory.Key)
	for _, id := range s.attributor.Pending(now) {
		waiting[id] = s.starts[id]
		keys = append(keys, s.starts[id])
	}
	s.starts = waiting
	return keys
}

// quarantined returns the refusal of a request whose content has ended too many
// backend servers, or nil.
func (r *request) quarantined() *placement.Refusal {
	crashes, until := r.crashes()
	if crashes < quarantineCrashes {
		return nil
	}
	return &placement.Refusal{Reason: quarantinedReason, RetryAfter: until.Sub(r.gateway.now())}
}

// crashes returns the number of backend servers that have ended under the request's
// content, and when the last of these is forgotten.
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

// noteUnreachable takes note of a backend server to which no connection could be
// opened.
func (g *Gateway) noteUnreachable(server *directory.Server, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	spread := g.ended(server.Key(), endedRefuses)
	g.mu.Unlock()
	spread()
}

// noteAnswered takes note of a whole answer to a content.
func (g *Gateway) noteAnswered(content model.Fingerprint) {
	g.mu.Lock()
	update := g.suspects.monitor.Answered(g.now(), content)
	g.mu.Unlock()
	g.spread(update)
}

// ended takes note that a backend server has ended. The caller holds mu, and calls
// the result without it.
func (g *Gateway) ended(server directory.Key, sign string) (spread func()) {
	contents := g.suspects.attributor.Ended(g.now(), startID(server))
	if len(contents) == 0 {
		return func() {}
	}
	g.config.Log.Log(eventlog.ServerCrashed, "server", server.ID, "born", server.StartUnixMilli, "sign", sign, "requests", len(contents))
	return g.crashed(server, contents)
}

// crashed attributes the end of a backend server to contents. The caller holds mu,
// and calls the result without it.
func (g *Gateway) crashed(server directory.Key, contents []model.Fingerprint) (spread func()) {
	now := g.now()
	update := g.suspects.monitor.Crashed(now, startID(server), 0, wire.CrashReport{InFlight: contents})
	g.logQuarantined(now, contents)
	return func() { g.spread(update) }
}

// alive takes note that a backend server was alive at a moment. The caller holds
// mu, and calls the result without it.
func (g *Gateway) alive(server directory.Key, at time.Time) (spread func()) {
	if g.suspects.attributor.EndCount() == 0 || !g.suspects.attributor.MarkAlive(startID(server), at) {
		return func() {}
	}
	g.config.Log.Log(eventlog.ServerAlive, "server", server.ID, "born", server.StartUnixMilli)
	update := g.suspects.monitor.Survived(g.now(), startID(server))
	return func() { g.spread(update) }
}

// endUnlisted takes note of backend servers with interrupted exchanges whose rows are
// gone, or whose address a later start has. The caller holds mu, and calls the
// result without it.
func (g *Gateway) endUnlisted() (spread func()) {
	var spreads []func()
	for _, server := range g.suspects.pending(g.now()) {
		listing := g.directory.Get(server)
		switch {
		case listing == nil:
			spreads = append(spreads, g.ended(server, endedUnlisted))
		case g.directory.ByAddress(listing.Address) != listing:
			spreads = append(spreads, g.ended(server, endedLaterStart))
		}
	}
	return func() {
		for _, spread := range spreads {
			spread()
		}
	}
}

// mergeSuspects takes what another entry or an agent knows. It returns what was
// news.
func (g *Gateway) mergeSuspects(update *wire.SuspectUpdate) *wire.SuspectUpdate {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	news := g.suspects.monitor.Merge(now, *update)
	if news == nil {
		return nil
	}
	var contents []model.Fingerprint
	for _, s := range news.Suspects {
		contents = append(contents, s.Finger)
		for _, in := range s.Incidents {
			if !in.Cleared {
				g.suspects.attributor.RecordEnd(now, in.Instance, now.Add(-milliseconds(in.AgeMillis)))
			}
		}
	}
	g.logQuarantined(now, contents)
	return news
}

// repeatedNews returns what is worth to be told again and again: contents under
// which two servers or more have ended, and servers that have said not long ago that
// they leave.
func (g *Gateway) repeatedNews() *peerlink.Gossip {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.suspects.monitor.Tick(now)
	for content := range g.suspects.logged {
		if crashes, _ := g.suspects.monitor.Crashes(now, content); crashes < quarantineCrashes {
			delete(g.suspects.logged, content)
		}
	}
	news := &peerlink.Gossip{}
	if likely := g.suspects.monitor.TopSuspects(now, quarantineCrashes-1, maxToldAgain); likely != nil {
		news.Suspects = *likely
	}
	for _, server := range g.directory.DrainingSince(now.Add(-leavingToldFor), maxToldAgain) {
		news.Draining = append(news.Draining, peerlink.ServerKey{ID: server.ID, StartUnixMilli: server.StartUnixMilli})
	}
	return news
}

const (
	// maxToldAgain bounds the contents and the servers that are told again and again.
	maxToldAgain = 20
	// leavingToldFor is how long it is told again that a server leaves: a few lost
	// datagrams.
	leavingToldFor = 5 * time.Second
)

// logQuarantined logs contents that are quarantined from now on.
func (g *Gateway) logQuarantined(now time.Time, contents []model.Fingerprint) {
	for _, content := range contents {
		crashes, until := g.suspects.monitor.Crashes(now, content)
		if crashes < quarantineCrashes {
			delete(g.suspects.logged, content)
			continue
		}
		if g.suspects.logged[content] {
			continue
		}
		g.suspects.logged[content] = true
		g.config.Log.Log(eventlog.ContentQuarantined, "content", content, "servers", crashes, "until", until)
	}
}
