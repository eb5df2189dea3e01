package poison

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/poison"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// simulation holds the state of one run.
type simulation struct {
	Params
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	queue   eventQueue
	entries []*poison.Monitor
	servers []*backendServer
	result  Result
}

// backendServer is one backend server with its agent.
type backendServer struct {
	id               model.InstanceID
	incarnation      uint64
	down             bool
	running          map[*request]int // value: index of the dispatching entry
	connectedEntries []int            // indices; crashes are reported to them and to the dispatching entries
}

// request is one request ID: a body sent once by a caller.
type request struct {
	fingerprint model.Fingerprint
	poison      bool
	suspect     bool // in the current attempt
	startedAt   time.Time
	retries     int
	onDone      func(outcome.Outcome)
}

// runsSuspect reports whether a suspect is running. The agent's gate then rejects
// another suspect.
func (b *backendServer) runsSuspect() bool {
	for r := range b.running {
		if r.suspect {
			return true
		}
	}
	return false
}

// Simulate simulates one run and returns its counts.
func Simulate(p Params) Result {
	s := &simulation{Params: p, rng: rand.New(rand.NewPCG(p.Seed, 0)), start: time.Unix(1_800_000_000, 0)}
	s.now = s.start
	for i := range p.Entries {
		s.entries = append(s.entries, poison.New(poison.Config{Settle: p.Settle}, model.InstanceID(fmt.Sprintf("entry-%d", i)), model.Generation(i+1)))
	}
	for i := range p.Agents {
		server := &backendServer{id: model.InstanceID(fmt.Sprintf("agent-%d", i)), running: make(map[*request]int)}
		server.connectedEntries = []int{s.rng.IntN(p.Entries), s.rng.IntN(p.Entries)}
		s.servers = append(s.servers, server)
	}
	s.after(0, s.sendInnocent)
	s.after(s.StartDelay, func() {
		for range max(p.Callers, 1) {
			s.sendPoison(p.SendsPerCaller)
		}
	})
	for s.queue.Len() > 0 {
		e := s.queue.next()
		if e.at.Sub(s.start) > simulatedTime {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *simulation) after(d time.Duration, run func()) { s.queue.add(s.now.Add(d), run) }

func (s *simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit))) + 1
}

func (s *simulation) sendInnocent() {
	if s.now.Sub(s.start) < simulatedTime-requestTimeout-maxInnocentRunTime {
		s.after(s.randomDelay(2*innocentInterval), s.sendInnocent)
	}
	body := fmt.Appendf(nil, "content %d", s.rng.IntN(innocentContents))
	s.result.Innocents++
	r := &request{fingerprint: model.FingerprintOf("t", "s", body), startedAt: s.now}
	r.onDone = func(o outcome.Outcome) {
		if o == outcome.Completed {
			s.result.Answered++
			s.result.MaxDelay = max(s.result.MaxDelay, s.now.Sub(r.startedAt))
		}
	}
	s.attempt(s.rng.IntN(s.Entries), r)
}

// sendPoison runs a caller that sends the poison request a number of times, each
// time as soon as the last request has ended.
func (s *simulation) sendPoison(remaining int) {
	if remaining == 0 {
		return
	}
	r := &request{fingerprint: model.FingerprintOf("t", "s", []byte("poison")), poison: true, startedAt: s.now}
	r.onDone = func(outcome.Outcome) { s.after(s.randomDelay(2*maxLatency), func() { s.sendPoison(remaining - 1) }) }
	s.attempt(s.rng.IntN(s.Entries), r)
}

// attempt dispatches a request from an entry to a random backend server with a
// free slot. It schedules another attempt if there is none or the request is held.
func (s *simulation) attempt(entry int, r *request) {
	if s.now.Sub(r.startedAt) > requestTimeout {
		s.broadcast(entry, s.entries[entry].Withdraw(s.now, r.fingerprint))
		r.onDone(outcome.NotRun)
		return
	}
	for _, i := range s.rng.Perm(len(s.servers)) {
		server := s.servers[i]
		if server.down || len(server.running) >= serverSlots {
			continue
		}
		v := poison.Verdict{}
		if !s.Baseline {
			v = s.entries[entry].Verdict(s.now, r.fingerprint, server.id)
			s.broadcast(entry, v.Update)
		}
		switch v.Decision {
		case poison.Run, poison.RunAlone:
			r.suspect = v.Decision == poison.RunAlone
			s.dispatch(entry, server, r)
			return
		case poison.Hold:
			s.queue.add(v.Until, func() { s.attempt(entry, r) })
			return
		case poison.Quarantined:
			if !r.poison {
				s.result.Quarantined++
			}
			r.onDone(outcome.NotRun)
			return
		}
	}
	s.after(maxLatency, func() { s.attempt(entry, r) })
}

func (s *simulation) dispatch(entry int, server *backendServer, r *request) {
	s.broadcast(entry, s.entries[entry].Started(s.now, r.fingerprint, server.id))
	if r.suspect && server.runsSuspect() {
		s.after(s.randomDelay(2*maxLatency), func() { s.finish(entry, server, r, outcome.NotRun) })
		return
	}
	server.running[r] = entry
	if r.poison && !r.suspect {
		s.result.UnsuspectedDispatches++
	}
	incarnation := server.incarnation
	if r.poison {
		s.after(s.randomDelay(maxCrashDelay), func() {
			if _, running := server.running[r]; running && server.incarnation == incarnation {
				s.result.LostServers++
				s.crash(server)
			}
		})
		return
	}
	s.after(s.randomDelay(maxInnocentRunTime), func() {
		if _, running := server.running[r]; running && server.incarnation == incarnation {
			delete(server.running, r)
			s.after(s.randomDelay(maxLatency), func() { s.finish(entry, server, r, outcome.Completed) })
		}
	})
}

// crash ends all requests on a backend server. The end of an entry's attempts and
// the crash report reach the entry in any order.
func (s *simulation) crash(server *backendServer) {
	report := wire.CrashReport{Incarnation: server.incarnation}
	entries := make(map[int]bool)
	for _, e := range server.connectedEntries {
		entries[e] = true
	}
	for r, entry := range server.running {
		report.InFlight = append(report.InFlight, r.fingerprint)
		entries[entry] = true
		s.after(s.randomDelay(maxLatency), func() { s.finish(entry, server, r, outcome.Unknown) })
	}
	for e := range s.Entries {
		if entries[e] && !s.Baseline {
			s.after(s.randomDelay(maxLatency), func() { s.broadcast(e, s.entries[e].Crashed(s.now, server.id, 1, report)) })
		}
	}
	server.running = make(map[*request]int)
	server.incarnation++
	server.down = true
	s.after(restartTime, func() { server.down = false })
}

func (s *simulation) finish(entry int, server *backendServer, r *request, o outcome.Outcome) {
	s.broadcast(entry, s.entries[entry].Finished(s.now, r.fingerprint, server.id, o))
	if o == outcome.Completed || s.Baseline && r.retries >= baselineRetries {
		r.onDone(o)
		return
	}
	r.retries++
	s.attempt(entry, r)
}

// broadcast sends an update to all other entries, each with its own latency.
func (s *simulation) broadcast(from int, update *wire.SuspectUpdate) {
	if update == nil || s.Baseline {
		return
	}
	delay := maxLatency
	if s.SlowUpdates {
		delay = s.Settle / 2
	}
	for to := range s.entries {
		if to != from {
			s.after(s.randomDelay(delay), func() { s.broadcast(to, s.entries[to].Merge(s.now, *update)) })
		}
	}
}
