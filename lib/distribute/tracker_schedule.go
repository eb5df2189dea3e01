package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// maxBusyChunks is the maximum number of chunks without a free source that are
// examined for one assignment.
const maxBusyChunks = 256

// Schedule returns new assignments for all agents that accept more. It should
// be called after each announcement and tick. Each round gives every agent at
// most one assignment, in random order, so that no agent waits while another
// fills its window.
func (t *Tracker) Schedule(now time.Time) []AgentAssign {
	t.expireGrants(now)
	var waiting []*peer
	for _, p := range t.sortedPeers() {
		if p.wantsChunks() {
			waiting = append(waiting, p)
		}
	}
	if len(waiting) > 0 {
		t.listAbsent()
	}
	messages := make(map[*peer]*wire.Assign)
	var out []AgentAssign
	for len(waiting) > 0 {
		t.cfg.Rand.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		unfilled := waiting[:0]
		for _, p := range waiting {
			g := t.assignNext(now, p)
			if g == nil {
				continue
			}
			m, ok := messages[p]
			if !ok {
				m = &wire.Assign{Manifest: t.cfg.Digest, ReannounceMillis: t.cfg.RetryInterval.Milliseconds()}
				messages[p] = m
				out = append(out, AgentAssign{Address: p.address, Assign: m})
			}
			m.Assignments = append(m.Assignments, wire.Assignment{
				Grant: g.number, Chunk: g.chunk, Source: g.sourceAddress(),
				DeadlineMillis: g.deadline.Sub(now).Milliseconds(),
			})
			if p.wantsChunks() {
				unfilled = append(unfilled, p)
			}
		}
		waiting = unfilled
	}
	return out
}

// PeersFor returns up to maxAssignPeers addresses of other agents that an agent
// can use in trackerless mode.
func (t *Tracker) PeersFor(address string) []string {
	peers := t.sortedPeers()
	start := t.cfg.Rand.Intn(len(peers) + 1)
	var out []string
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if p.address != address && len(out) < maxAssignPeers {
			out = append(out, p.address)
		}
	}
	return out
}

// assignNext issues a grant to an agent, or returns nil. In order of
// preference, the chunk is absent from the failure domain, the rarest one that
// another agent holds, one without a usable local source, or a duplicate of one
// of the agent's last missing chunks.
func (t *Tracker) assignNext(now time.Time, p *peer) *grant {
	if g := t.assignAbsent(now, p); g != nil {
		return g
	}
	if g := t.assignRarest(now, p); g != nil {
		return g
	}
	if g := t.assignUnreachable(now, p); g != nil {
		return g
	}
	return t.assignEndgame(now, p)
}

// assignUnreachable grants a chunk of which no local holder is usable for this
// agent, for example because of stalled links. The source is an agent of
// another tracker or the origin.
func (t *Tracker) assignUnreachable(now time.Time, p *peer) *grant {
	remotes := t.usableRemotes(now)
	for _, chunk := range t.order {
		if t.holders[chunk] == 0 || !p.needs(chunk) || t.hasLocalSource(now, p, chunk) {
			continue
		}
		if s, region := t.chooseRemoteSource(now, remotes, p, chunk); s != nil {
			return t.issue(now, p, chunk, s, region)
		}
		if t.activeOriginGrants < t.cfg.OriginStreams && p.accepts(now, Origin) {
			return t.issue(now, p, chunk, nil, nil)
		}
	}
	return nil
}

// hasLocalSource reports whether an agent can fetch a chunk from another agent
// of the failure domain, now or as soon as an upload slot is free.
func (t *Tracker) hasLocalSource(now time.Time, to *peer, chunk int) bool {
	for _, p := range t.sortedPeers() {
		if p != to && p.have.Get(chunk) && p.usable(now) && !to.avoids(now, p.address) {
			return true
		}
	}
	return false
}

// assignAbsent grants a chunk that no agent of the failure domain holds or is
// fetching. Origin fetches go through the chunks in rank order and remote
// fetches in the opposite direction, so that they rarely select the same
// chunks.
func (t *Tracker) assignAbsent(now time.Time, p *peer) *grant {
	if remotes := t.usableRemotes(now); len(remotes) > 0 {
		for i := len(t.absent) - 1; i >= 0; i-- {
			if chunk := t.absent[i]; t.isAbsent(chunk) && p.needs(chunk) {
				if s, region := t.chooseRemoteSource(now, remotes, p, chunk); s != nil {
					return t.issue(now, p, chunk, s, region)
				}
			}
		}
	}
	if t.activeOriginGrants >= t.cfg.OriginStreams || !p.accepts(now, Origin) {
		return nil
	}
	for _, chunk := range t.absent {
		if !t.isAbsent(chunk) || !p.needs(chunk) {
			continue
		}
		if t.ranks[chunk] < t.cfg.Policy.Copies || now.Sub(t.lastRemote) > t.cfg.OriginFallbackAfter {
			return t.issue(now, p, chunk, nil, nil)
		}
	}
	return nil
}

func (t *Tracker) isAbsent(chunk int) bool { return t.holders[chunk] == 0 && t.inFlight[chunk] == 0 }

// listAbsent fills t.absent with the chunks that no agent holds or is fetching,
// in rank order.
func (t *Tracker) listAbsent() {
	t.absent = t.absent[:0]
	for _, chunk := range t.order {
		if t.isAbsent(chunk) {
			t.absent = append(t.absent, chunk)
		}
	}
}

// hasFreeUploadSlot reports whether any agent that holds chunks has a free
// upload slot.
func (t *Tracker) hasFreeUploadSlot() bool {
	for _, p := range t.sortedPeers() {
		if p.uploads < t.cfg.UploadSlots && p.heldCount > 0 {
			return true
		}
	}
	return false
}

// assignRarest grants the chunk with the fewest copies in the failure domain,
// counting copies in flight, from the holder with the fewest uploads.
func (t *Tracker) assignRarest(now time.Time, p *peer) *grant {
	best, fewest, ties, busy := -1, 0, 0, 0
	var from *source
	if !t.hasFreeUploadSlot() {
		return nil
	}
	n := len(t.order)
	start := t.cfg.Rand.Intn(n)
	for i := range n {
		chunk := t.order[(start+i)%n]
		if t.holders[chunk] == 0 || !p.needs(chunk) {
			continue
		}
		copies := t.holders[chunk] + t.inFlight[chunk]
		if best >= 0 && copies > fewest {
			continue
		}
		if best >= 0 && copies == fewest {
			if ties++; t.cfg.Rand.Intn(ties+1) != 0 {
				continue
			}
		}
		s := t.chooseUploader(now, p, chunk)
		if s == nil {
			// Limit the work when most agents are busy; the next call tries
			// again.
			if busy++; busy >= maxBusyChunks {
				break
			}
			continue
		}
		if best < 0 || copies < fewest {
			ties = 0
		}
		best, fewest, from = chunk, copies, s
	}
	if best < 0 {
		return nil
	}
	return t.issue(now, p, best, from, nil)
}

// chooseUploader returns the agent that holds a chunk and has the fewest
// uploads, chosen randomly among equals, or nil. The agent that last sent a
// corrupt copy of the chunk is used only if there is no other. Avoided sources
// are not used.
func (t *Tracker) chooseUploader(now time.Time, to *peer, chunk int) *source {
	var best *source
	ties, bestCorrupt := 0, false
	for _, p := range t.sortedPeers() {
		if p == to || !p.have.Get(chunk) || p.uploads >= t.cfg.UploadSlots || !p.usable(now) || !to.accepts(now, p.address) {
			continue
		}
		corrupt := to.corruptFrom[chunk] == p.address
		switch {
		case best == nil, bestCorrupt && !corrupt, bestCorrupt == corrupt && p.uploads < best.uploads:
			best, bestCorrupt, ties = &p.source, corrupt, 0
		case bestCorrupt == corrupt && p.uploads == best.uploads:
			if ties++; t.cfg.Rand.Intn(ties+1) == 0 {
				best = &p.source
			}
		}
	}
	return best
}

// assignEndgame grants a second copy of a chunk in flight if the agent has at
// most EndgameChunks missing chunks, all of them are in flight and the first
// copy is late.
func (t *Tracker) assignEndgame(now time.Time, p *peer) *grant {
	missing := len(t.holders) - p.heldCount
	if missing > t.cfg.EndgameChunks || missing != len(p.active) {
		return nil
	}
	for _, chunk := range sortedKeys(p.active) {
		numbers := p.active[chunk]
		g := t.grants[numbers[0]]
		if len(numbers) > 1 || now.Sub(g.issued) < 2*t.transferTime(g).value {
			continue
		}
		if s := t.chooseUploader(now, p, chunk); s != nil && s != g.from {
			return t.issue(now, p, chunk, s, nil)
		}
	}
	return nil
}
