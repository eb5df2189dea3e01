package distribute

import "time"

// grant is one assignment. Its number is unique within a tracker; a report
// about an unknown number refers to a grant that has expired.
type grant struct {
	number uint64
	chunk  int
	to     *peer
	// from is the source; nil means the origin.
	from *source
	// remote is the region of a source in another failure domain; nil
	// otherwise.
	remote   *remoteRegion
	issued   time.Time
	deadline time.Time
}

func (g *grant) sourceAddress() string {
	if g.from == nil {
		return Origin
	}
	return g.from.address
}

// transferTime returns the average transfer time for the grant's kind of
// source: origin, another failure domain or a peer.
func (t *Tracker) transferTime(g *grant) *movingAverage {
	switch {
	case g.from == nil:
		return &t.originTime
	case g.remote != nil:
		return &t.remoteTime
	default:
		return &t.peerTime
	}
}

func (t *Tracker) issue(now time.Time, to *peer, chunk int, from *source, remote *remoteRegion) *grant {
	t.lastGrant++
	g := &grant{number: t.lastGrant, chunk: chunk, to: to, from: from, remote: remote, issued: now}
	g.deadline = now.Add(t.transferTime(g).timeout(t.cfg.MinGrantTimeout, t.cfg.InitialGrantTimeout, t.cfg.MaxGrantTimeout))
	t.grants[g.number] = g
	to.active[chunk] = append(to.active[chunk], g.number)
	to.grantCount++
	t.inFlight[chunk]++
	switch {
	case from == nil:
		to.originGrants++
		t.activeOriginGrants++
		t.stats.OriginGrants++
	case remote != nil:
		remote.activeGrants++
		remote.credit -= float64(t.cfg.Manifest.Chunks[chunk].Size)
		from.uploads++
	default:
		from.uploads++
	}
	return g
}

// release removes a grant and returns its slots, whatever its outcome.
func (t *Tracker) release(g *grant) {
	delete(t.grants, g.number)
	numbers := g.to.active[g.chunk]
	for i, n := range numbers {
		if n == g.number {
			numbers = append(numbers[:i], numbers[i+1:]...)
			break
		}
	}
	if len(numbers) == 0 {
		delete(g.to.active, g.chunk)
	} else {
		g.to.active[g.chunk] = numbers
	}
	g.to.grantCount--
	t.inFlight[g.chunk]--
	if g.from == nil {
		g.to.originGrants--
		t.activeOriginGrants--
		return
	}
	g.from.uploads--
	if g.remote != nil {
		g.remote.activeGrants--
	}
}

// expireGrants releases grants whose deadline has passed, so that their chunks
// can be assigned again under new numbers. The failure is attributed only to
// the pair of agent and source, since either of them may be the one that
// stalls.
func (t *Tracker) expireGrants(now time.Time) {
	for _, number := range sortedKeys(t.grants) {
		g := t.grants[number]
		if now.Before(g.deadline) {
			continue
		}
		t.release(g)
		t.stats.ExpiredGrants++
		t.expired[g.number] = g
		g.to.blockSource(now, g.sourceAddress(), t.cfg.AvoidFor)
	}
	for number, g := range t.expired {
		if now.Sub(g.deadline) > t.cfg.AvoidFor {
			delete(t.expired, number)
		}
	}
}
