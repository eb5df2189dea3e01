package admit

import (
	"container/list"
	"time"
)

// WaitLine orders the requests of one service that wait for a placement: by rank, and within
// a rank by turns of the teams. Queue does not fit: its classes are inside tenants, and each
// step takes time in proportion to the tenants. It is not safe for concurrent use.
type WaitLine struct {
	ranks  [MaxRank + 1]waitRank
	length int
}

// waitRank holds the waiting requests of one rank.
type waitRank struct {
	// teams holds *waitTeam values; the first one has the next turn.
	teams  list.List
	byTeam map[string]*list.Element
	length int
	// rate is the rate at which requests of the rank were placed while any waited. idleSince
	// is the end of the last time with a waiting request.
	rate      rate
	idleSince time.Time
	// unservedSince is when the first request joined after the last one of this or a less
	// urgent rank that was placed.
	unservedSince time.Time
}

// waitTeam holds the waiting requests of one team of a rank, in order of arrival.
type waitTeam struct {
	name    string
	waiters list.List
}

// Waiter is a waiting request.
type Waiter struct {
	rank    int
	team    *list.Element
	element *list.Element
}

// rateMemory is the time after which the rate of a rank without waiting requests, and its time
// without a placement, are dropped.
const rateMemory = 5 * time.Second

// Len returns the number of waiting requests.
func (l *WaitLine) Len() int { return l.length }

// Unserved returns the time for which requests of a rank or a more urgent one have waited and
// none was placed. Less urgent ones tell nothing: they are not tried while others wait, and
// are admitted up to a smaller share of the limit.
func (l *WaitLine) Unserved(rank int, now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range clampRank(rank) + 1 {
		if r := &l.ranks[i]; r.length > 0 {
			longest = max(longest, now.Sub(r.unservedSince))
		}
	}
	return longest
}

// Placed tells that a request of a rank was placed, whether it has waited or not: there is room
// for that rank and for more urgent ones.
func (l *WaitLine) Placed(rank int, now time.Time) {
	for i := range clampRank(rank) + 1 {
		l.ranks[i].unservedSince = now
	}
}

// ExpectedWait returns the time until a new request of a rank is placed, judging by the rate at
// which requests of the rank were recently placed. It returns zero if that is not known, or
// if none of the rank waits: one request at a time finds out.
func (l *WaitLine) ExpectedWait(rank int, now time.Time) time.Duration {
	r := &l.ranks[clampRank(rank)]
	if r.length == 0 {
		return 0
	}
	r.rate.advance(now, gateWindow)
	if r.rate.tokens == 0 {
		return time.Duration(r.rate.seconds * float64(time.Second))
	}
	return time.Duration(min(float64(r.length+1)*r.rate.seconds/r.rate.tokens, time.Hour.Seconds()) * float64(time.Second))
}

// Join adds a request.
func (l *WaitLine) Join(rank int, team string, value any, now time.Time) *Waiter {
	rank = clampRank(rank)
	r := &l.ranks[rank]
	if r.length == 0 {
		if now.Sub(r.idleSince) > rateMemory {
			r.rate = rate{}
			r.unservedSince = now
		}
		r.rate.startBusy(now)
	}
	e := r.byTeam[team]
	if e == nil {
		if r.byTeam == nil {
			r.byTeam = make(map[string]*list.Element)
		}
		e = r.teams.PushBack(&waitTeam{name: team})
		r.byTeam[team] = e
	}
	l.length++
	r.length++
	return &Waiter{rank: rank, team: e, element: e.Value.(*waitTeam).waiters.PushBack(value)}
}

// First returns the value of the request that is to be placed next, or nil.
func (l *WaitLine) First() any {
	for i := range l.ranks {
		if e := l.ranks[i].teams.Front(); e != nil {
			return e.Value.(*waitTeam).waiters.Front().Value
		}
	}
	return nil
}

// PassTurn gives the next turn of the rank to another team, because a request could not be
// placed.
func (l *WaitLine) PassTurn(w *Waiter) { l.ranks[w.rank].teams.MoveToBack(w.team) }

// Leave removes a request, which must be waiting. placed tells whether it was placed.
func (l *WaitLine) Leave(w *Waiter, placed bool, now time.Time) {
	r, team := &l.ranks[w.rank], w.team.Value.(*waitTeam)
	r.rate.advance(now, gateWindow)
	l.length--
	r.length--
	team.waiters.Remove(w.element)
	if placed {
		r.rate.addTokens(1)
		l.Placed(w.rank, now)
	}
	if r.length == 0 {
		r.rate.stopBusy()
		r.idleSince = now
	}
	if team.waiters.Len() == 0 {
		r.teams.Remove(w.team)
		delete(r.byTeam, team.name)
	} else if placed {
		r.teams.MoveToBack(w.team)
	}
}

func clampRank(rank int) int { return min(max(rank, 0), MaxRank) }
