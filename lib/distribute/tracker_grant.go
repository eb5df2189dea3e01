package distribute

import "time"

// grant is one assignment. Its number is unique within a tracker; a report
// about another number is about a grant that has expired.
type grant struct {
	number uint64
	chunk  int
	to     *peer
	// from is the source, or nil for the origin.
	from *source
	// remote is set when the source is in another failure domain.
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

// times returns the moving average of the kind of transfer that a grant is.
func (t *Tracker) times(g *grant) *average {
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
	g.deadline = now.Add(t.times(g).deadline(t.cfg.MinGrantTimeout, t.cfg.InitialGrantTimeout, t.cfg.MaxGrantTimeout))
	t.grants[g.number] = g
	to.active[chunk] = append(to.active[chunk], g.number)
	to.grants++
	t.inFlight[chunk]++
	switch {
	case from == nil:
		to.origin++
		t.originActive++
		t.stats.OriginGrants++
	case remote != nil:
		remote.active++
		remote.credit -= float64(t.cfg.Manifest.Chunks[chunk].Size)
		from.uploads++
	default:
		from.uploads++
	}
	return g
}

// release ends a grant, however it went.
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
	g.to.grants--
	t.inFlight[g.chunk]--
	if g.from == nil {
		g.to.origin--
		t.originActive--
		return
	}
	g.from.uploads--
	if g.remote != nil {
		g.remote.active--
	}
}

// expire releases grants whose deadline has passed. The chunk is granted again
// with a new number. The failure counts against the pair of agent and source
// only: either may be the one that stalls.
func (t *Tracker) expire(now time.Time) {
	for _, number := range sortedKeys(t.grants) {
		g := t.grants[number]
		if now.Before(g.deadline) {
			continue
		}
		t.release(g)
		t.stats.ExpiredGrants++
		t.overdue[g.number] = g
		g.to.block(now, g.sourceAddress(), t.cfg.AvoidFor)
	}
	for number, g := range t.overdue {
		if now.Sub(g.deadline) > t.cfg.AvoidFor {
			delete(t.overdue, number)
		}
	}
}
