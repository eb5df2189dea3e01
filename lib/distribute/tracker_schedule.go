package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// maxBusyChunks bounds the chunks without a free source that are looked at for
// one assignment.
const maxBusyChunks = 256

// Schedule returns new assignments for agents that want more. It is called
// after announcements and ticks. Agents get one assignment per round, in random
// order, so that none waits while another fills its window.
func (t *Tracker) Schedule(now time.Time) []AgentAssign {
	t.expire(now)
	var hungry []*peer
	for _, p := range t.sortedPeers() {
		if p.hungry() {
			hungry = append(hungry, p)
		}
	}
	if len(hungry) > 0 {
		t.listFresh()
	}
	messages := make(map[*peer]*wire.Assign)
	var out []AgentAssign
	for len(hungry) > 0 {
		t.cfg.Rand.Shuffle(len(hungry), func(i, j int) { hungry[i], hungry[j] = hungry[j], hungry[i] })
		left := hungry[:0]
		for _, p := range hungry {
			g := t.next(now, p)
			if g == nil {
				continue
			}
			m, ok := messages[p]
			if !ok {
				m = &wire.Assign{Manifest: t.cfg.Digest, RetryMillis: t.cfg.RetryInterval.Milliseconds()}
				messages[p] = m
				out = append(out, AgentAssign{Address: p.address, Assign: m})
			}
			m.Assignments = append(m.Assignments, wire.Assignment{
				Grant: g.number, Chunk: g.chunk, Source: g.sourceAddress(),
				DeadlineMillis: g.deadline.Sub(now).Milliseconds(),
			})
			if p.hungry() {
				left = append(left, p)
			}
		}
		hungry = left
	}
	return out
}

// PeersFor names agents that an agent may use without a tracker.
func (t *Tracker) PeersFor(address string) []string {
	peers := t.sortedPeers()
	start := t.cfg.Rand.Intn(len(peers) + 1)
	var out []string
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if p.address != address && len(out) < maxPeersNamed {
			out = append(out, p.address)
		}
	}
	return out
}

// next grants one chunk to an agent: one that the failure domain lacks, if a
// stream is free, else the rarest that another agent holds, else a duplicate of
// one of its last chunks.
func (t *Tracker) next(now time.Time, p *peer) *grant {
	if g := t.freshFor(now, p); g != nil {
		return g
	}
	if g := t.rarest(now, p); g != nil {
		return g
	}
	if g := t.stranded(now, p); g != nil {
		return g
	}
	return t.endgame(now, p)
}

// stranded grants a chunk whose local holders are all avoided or failed for this
// agent, as behind stalled links, from another tracker's agents or the origin.
func (t *Tracker) stranded(now time.Time, p *peer) *grant {
	open := t.openRemote(now)
	for _, chunk := range t.order {
		if t.holders[chunk] == 0 || !p.needs(chunk) || t.reachable(now, p, chunk) {
			continue
		}
		if s, region := t.remoteSource(now, open, p, chunk); s != nil {
			return t.issue(now, p, chunk, s, region)
		}
		if t.originActive < t.cfg.OriginStreams && p.accepts(now, Origin) {
			return t.issue(now, p, chunk, nil, nil)
		}
	}
	return nil
}

// reachable reports whether an agent accepts a chunk from any local holder, now
// or when a slot is free.
func (t *Tracker) reachable(now time.Time, to *peer, chunk int) bool {
	for _, p := range t.sortedPeers() {
		if p != to && p.have.Get(chunk) && p.usable(now) && !to.failing(now, p.address) {
			return true
		}
	}
	return false
}

// freshFor grants a chunk that no agent of the failure domain holds or is
// fetching. Origin fetches go by rank, remote ones in the opposite direction,
// so that they don't compete.
func (t *Tracker) freshFor(now time.Time, p *peer) *grant {
	if open := t.openRemote(now); len(open) > 0 {
		for i := len(t.fresh) - 1; i >= 0; i-- {
			if chunk := t.fresh[i]; t.isFresh(chunk) && p.needs(chunk) {
				if s, region := t.remoteSource(now, open, p, chunk); s != nil {
					return t.issue(now, p, chunk, s, region)
				}
			}
		}
	}
	if t.originActive >= t.cfg.OriginStreams || !p.accepts(now, Origin) {
		return nil
	}
	for _, chunk := range t.fresh {
		if !t.isFresh(chunk) || !p.needs(chunk) {
			continue
		}
		if t.ranks[chunk] < t.cfg.Policy.Copies || now.Sub(t.lastRemote) > t.cfg.OriginFallbackAfter {
			return t.issue(now, p, chunk, nil, nil)
		}
	}
	return nil
}

func (t *Tracker) isFresh(chunk int) bool { return t.holders[chunk] == 0 && t.inFlight[chunk] == 0 }

// listFresh collects the chunks that no agent holds or fetches, in the order of
// origin fetches.
func (t *Tracker) listFresh() {
	t.fresh = t.fresh[:0]
	for _, chunk := range t.order {
		if t.isFresh(chunk) {
			t.fresh = append(t.fresh, chunk)
		}
	}
}

// freeUploads reports whether any agent has a free upload slot.
func (t *Tracker) freeUploads() bool {
	for _, p := range t.sortedPeers() {
		if p.uploads < t.cfg.UploadSlots && p.held > 0 {
			return true
		}
	}
	return false
}

// rarest grants the chunk with the fewest copies, held or on their way, from
// the source with the fewest uploads.
func (t *Tracker) rarest(now time.Time, p *peer) *grant {
	best, copies, ties, busy := -1, 0, 0, 0
	var from *source
	if !t.freeUploads() {
		return nil
	}
	n := len(t.order)
	start := t.cfg.Rand.Intn(n)
	for i := range n {
		chunk := t.order[(start+i)%n]
		if t.holders[chunk] == 0 || !p.needs(chunk) {
			continue
		}
		have := t.holders[chunk] + t.inFlight[chunk]
		if best >= 0 && have > copies {
			continue
		}
		if best >= 0 && have == copies {
			if ties++; t.cfg.Rand.Intn(ties+1) != 0 {
				continue
			}
		}
		s := t.uploader(now, p, chunk)
		if s == nil {
			// Bounds the work when most agents are busy; the next event tries again.
			if busy++; busy >= maxBusyChunks {
				break
			}
			continue
		}
		if best < 0 || have < copies {
			ties = 0
		}
		best, copies, from = chunk, have, s
	}
	if best < 0 {
		return nil
	}
	return t.issue(now, p, best, from, nil)
}

// uploader returns the least loaded agent that holds a chunk, at random among
// equals. The one that last sent a corrupt copy is used if there is no other;
// one that is avoided is not used.
func (t *Tracker) uploader(now time.Time, to *peer, chunk int) *source {
	var best *source
	ties, worse := 0, false
	for _, p := range t.sortedPeers() {
		if p == to || !p.have.Get(chunk) || p.uploads >= t.cfg.UploadSlots || !p.usable(now) || !to.accepts(now, p.address) {
			continue
		}
		bad := to.bad[chunk] == p.address
		switch {
		case best == nil, worse && !bad, worse == bad && p.uploads < best.uploads:
			best, worse, ties = &p.source, bad, 0
		case worse == bad && p.uploads == best.uploads:
			if ties++; t.cfg.Rand.Intn(ties+1) == 0 {
				best = &p.source
			}
		}
	}
	return best
}

// endgame grants a second copy of a chunk that an agent waits for, when it has
// no others left to ask for and the first copy is late.
func (t *Tracker) endgame(now time.Time, p *peer) *grant {
	missing := len(t.holders) - p.held
	if missing > t.cfg.EndgameChunks || missing != len(p.active) {
		return nil
	}
	for _, chunk := range sortedKeys(p.active) {
		numbers := p.active[chunk]
		g := t.grants[numbers[0]]
		if len(numbers) > 1 || now.Sub(g.issued) < 2*t.times(g).value {
			continue
		}
		if s := t.uploader(now, p, chunk); s != nil && s != g.from {
			return t.issue(now, p, chunk, s, nil)
		}
	}
	return nil
}
