package admit

import (
	"math/rand/v2"
	"time"
)

// Gate decides which requests of one service are admitted while its servers cannot answer all
// of them within their latency target. Without overload it admits all. It is not safe for
// concurrent use.
//
// Requests of a more urgent rank go before those of a less urgent one, and requests that can
// meet their latency target before those that cannot: each refusal reduces the share of the
// limit up to which later ones are admitted. Within a rank, the same holds for teams below
// their fair share and teams above it.
type Gate struct {
	rng    *rand.Rand
	ranks  [MaxRank + 1]gateRank
	totals gateTotals
	period overloadPeriod
}

// NewGate returns a Gate without history.
func NewGate(rng *rand.Rand) *Gate {
	g := &Gate{rng: rng}
	for i := range g.ranks {
		r := &g.ranks[i]
		r.inTime.recovery, r.late.recovery, r.aboveFair.recovery = rankRecovery, rankRecovery, teamRecovery
	}
	return g
}

// Decide decides on one placement of a request.
func (g *Gate) Decide(now time.Time, o Offer) Verdict {
	v := g.decide(now, o)
	if o.Waiting {
		v.Overload = g.period.recordWaited(v.Decision, now)
	} else {
		v.Overload = g.period.record(v.Decision == Admit, now)
	}
	return v
}

// Close ends the current overload, because the Gate is dropped.
func (g *Gate) Close() Overload { return g.period.end() }

// Refused records that a request of a rank and team which Decide has admitted is refused later.
func (g *Gate) Refused(now time.Time, rank int, team string) Overload {
	o := Offer{Rank: clampRank(rank), Team: team}
	r := &g.ranks[o.Rank]
	g.withdrawAdmitted(r, &o, now)
	g.reduceOthers(r, &o, r.teams.aboveFairShare(team, now), now)
	g.totals.returning.add(now)
	r.stats.Refused++
	return g.period.record(false, now)
}

func (g *Gate) decide(now time.Time, o Offer) Verdict {
	o.Rank = clampRank(o.Rank)
	r := &g.ranks[o.Rank]
	r.used = true
	if !o.Waiting {
		g.recordOffered(r, now)
	}
	aboveFair := r.teams.aboveFairShare(o.Team, now)
	limit := g.limit(r, &o, aboveFair, now)
	if o.Predicted <= limit {
		g.recordAdmitted(r, &o, now)
		if o.Waiting {
			g.totals.returning.subtract(now)
		}
		return Verdict{Decision: Admit}
	}
	if !o.Waiting {
		// Waiting requests are offered many times a second.
		g.reduceOthers(r, &o, aboveFair, now)
	}
	if o.MaxWait > 0 && (o.Waiting || float64(limit) >= minWaitShare*float64(o.Limit)) {
		if !o.Waiting {
			r.stats.Waited++
			g.totals.returning.add(now)
		}
		return Verdict{Decision: Wait, RetryAfter: g.retryAfter(&o, limit, now)}
	}
	if !o.Waiting {
		g.totals.returning.add(now)
	}
	r.stats.Refused++
	return Verdict{Decision: Refuse, RetryAfter: g.retryAfter(&o, limit, now)}
}

// Limit returns the longest predicted time that Decide would admit for an offer, and records
// nothing.
func (g *Gate) Limit(now time.Time, o Offer) time.Duration {
	r := &g.ranks[clampRank(o.Rank)]
	return g.limit(r, &o, r.teams.aboveFairShare(o.Team, now), now)
}

func (g *Gate) limit(r *gateRank, o *Offer, aboveFair bool, now time.Time) time.Duration {
	return time.Duration(float64(o.Limit) * g.share(r, o, aboveFair, now))
}

// Stats returns the counts of all ranks that have had requests, from the most urgent one.
func (g *Gate) Stats(now time.Time) []RankStats {
	var all []RankStats
	for i := range g.ranks {
		if r := &g.ranks[i]; r.used {
			s := r.stats
			s.Rank, s.Share = i, g.share(r, &Offer{}, false, now)
			all = append(all, s)
		}
	}
	return all
}

// Teams returns the number of teams with state, counted for each of their ranks.
func (g *Gate) Teams() int {
	n := 0
	for i := range g.ranks {
		n += len(g.ranks[i].teams.byName)
	}
	return n
}

// share returns the share of the limit that applies to a request.
func (g *Gate) share(r *gateRank, o *Offer, aboveFair bool, now time.Time) float64 {
	share := 1.0
	if !r.starved(&g.totals, now) {
		share = r.inTime.at(now)
		if o.Late {
			share = min(maxLateShare, r.late.at(now))
		}
	}
	// Within a starved rank, too, teams below their fair share go first: without this, a
	// simulation refused 17 % of the requests of small teams beside a large one; 15 % is the bound.
	if aboveFair {
		share *= r.aboveFair.at(now)
	}
	return share
}

// RecordUnavailable records a request that may wait until a server is available. Later offers of
// it have Waiting set.
func (g *Gate) RecordUnavailable(now time.Time, rank int) {
	r := &g.ranks[clampRank(rank)]
	r.used = true
	r.stats.Waited++
	g.recordOffered(r, now)
	g.totals.returning.add(now)
}

func (g *Gate) recordOffered(r *gateRank, now time.Time) {
	r.offered.add(now)
	g.totals.offered.add(now)
}

func (g *Gate) recordAdmitted(r *gateRank, o *Offer, now time.Time) {
	r.admitted.add(now)
	g.totals.admitted.add(now)
	r.teams.record(o.Team, now)
	r.stats.Admitted++
}

// withdrawAdmitted takes back recordAdmitted, except for the count of the statistics, which only
// increases: a rank whose admitted requests are refused later is starved as well.
func (g *Gate) withdrawAdmitted(r *gateRank, o *Offer, now time.Time) {
	r.admitted.subtract(now)
	g.totals.admitted.subtract(now)
	r.teams.withdraw(o.Team, now)
}

// reduceOthers reduces the shares of the requests that go after one that was not admitted.
func (g *Gate) reduceOthers(r *gateRank, o *Offer, aboveFair bool, now time.Time) {
	part := min(maxDecrease, refusalGain/max(1, r.offered.perSecond(now)))
	for i := range g.ranks {
		other := &g.ranks[i]
		switch {
		case i > o.Rank && !o.Late:
			other.inTime.decrease(part, now)
			other.late.decrease(part, now)
		case i > o.Rank || !o.Late:
			other.late.decrease(part, now)
		}
	}
	if o.Team != "" && !aboveFair && !o.Late {
		r.aboveFair.decrease(part, now)
	}
}

// retryAfter returns the time after which a refused caller may return: when the best server is
// expected to answer within the limit, and later by a random part of an interval over which
// the callers that were refused lately are spread.
func (g *Gate) retryAfter(o *Offer, limit time.Duration, now time.Time) time.Duration {
	longest := longestRetryAfter(o.Remaining)
	after := min(max(o.Predicted-limit, minRetryAfter), longest/2)
	perSecond := max(minAdmitted, g.totals.admitted.perSecond(now)) * returnShare
	spread := min(g.totals.returning.perSecond(now)/perSecond, o.Limit.Seconds()*returnSpreadShare, (longest - after).Seconds())
	return after + time.Duration(g.rng.Float64()*spread*float64(time.Second))
}

// RetryAfterUnavailable returns the time after which the caller of a request with the given
// remaining time may return that is refused because no server is available for a while: near
// the longest time that it accepts, and spread over a small part of it.
func (g *Gate) RetryAfterUnavailable(remaining time.Duration) time.Duration {
	longest := longestRetryAfter(remaining)
	return longest - time.Duration(g.rng.Float64()*float64(longest)*unavailableSpread)
}

func longestRetryAfter(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return maxGateRetryAfter
	}
	return min(maxGateRetryAfter, time.Duration(float64(remaining)*retryAfterShare))
}
