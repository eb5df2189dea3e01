package admit

import (
	"container/list"
	"math"
	"time"
)

// teamUses tracks the admitted requests of the teams of one rank over gateWindow.
type teamUses struct {
	byName map[string]*list.Element
	// recent holds *teamUse values, those with the last admitted request first.
	recent list.List
	total  decayingCount
}

// teamUse is the use of one team.
type teamUse struct {
	name     string
	admitted decayingCount
}

// idleTeamTime is the time without an admitted request after which the state of a team is
// dropped. Its use has then decayed to a few percent.
const idleTeamTime = 3 * gateWindow

// record counts an admitted request of a team.
func (u *teamUses) record(team string, now time.Time) {
	if team == "" {
		return
	}
	u.dropIdle(now)
	if u.byName == nil {
		u.byName = make(map[string]*list.Element)
	}
	e := u.byName[team]
	if e == nil {
		if len(u.byName) >= maxTeams {
			u.drop(u.recent.Back())
		}
		e = u.recent.PushFront(&teamUse{name: team})
		u.byName[team] = e
	}
	u.recent.MoveToFront(e)
	e.Value.(*teamUse).admitted.add(now)
	u.total.add(now)
}

// withdraw takes back an admitted request of a team.
func (u *teamUses) withdraw(team string, now time.Time) {
	if e := u.byName[team]; e != nil {
		e.Value.(*teamUse).admitted.subtract(now)
		u.total.subtract(now)
	}
}

// aboveFairShare reports whether a team has used more than the mean of the active teams, by
// more than the spread of random arrivals: without that margin, half of equal teams were reduced
// at any time.
func (u *teamUses) aboveFairShare(team string, now time.Time) bool {
	u.dropIdle(now)
	e := u.byName[team]
	if e == nil {
		return false
	}
	fair := u.total.at(now) / float64(len(u.byName))
	return e.Value.(*teamUse).admitted.at(now) > fair+math.Sqrt(fair)
}

// dropIdle drops the state of idle teams. Each is dropped once, so that the cost for each
// recorded request is constant on average.
func (u *teamUses) dropIdle(now time.Time) {
	for e := u.recent.Back(); e != nil; e = u.recent.Back() {
		if now.Sub(e.Value.(*teamUse).admitted.updatedAt) < idleTeamTime {
			return
		}
		u.drop(e)
	}
}

func (u *teamUses) drop(e *list.Element) {
	delete(u.byName, e.Value.(*teamUse).name)
	u.recent.Remove(e)
}
