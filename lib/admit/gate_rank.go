package admit

import "time"

// gateRank is the state of a Gate for the requests of one rank.
type gateRank struct {
	// used is set once there has been a request.
	used bool
	// inTime and late are the shares of the limit for requests that can and that cannot meet
	// the latency target any more.
	inTime, late limitShare
	// aboveFair is the share of the limit of the rank that applies to teams above their fair
	// share.
	aboveFair         limitShare
	teams             teamUses
	offered, admitted decayingCount
	stats             RankStats
}

// starved reports whether the share of the rank's requests that were admitted is too small in
// comparison with that of all requests.
func (r *gateRank) starved(all *gateTotals, now time.Time) bool {
	own, offered := r.admitted.at(now), r.offered.at(now)
	return own*all.offered.at(now) < starvedRatio*all.admitted.at(now)*offered
}

// gateTotals counts the requests of all ranks.
type gateTotals struct {
	offered, admitted decayingCount
	// returning counts the requests that were not admitted, whose callers may return: a request
	// that may wait is refused if its entry has no room for it.
	returning decayingCount
}

// RankStats counts the decisions of a Gate for one rank.
type RankStats struct {
	Rank int
	// Admitted, Waited and Refused count requests. A request that has waited is also admitted
	// or refused at the end of its wait, if that was offered to the Gate.
	Admitted, Waited, Refused int64
	// Share is the share of the limit that is in force.
	Share float64
}
