package agent

import (
	"maps"
	"slices"
	"time"
)

// unknownRank is the rank until an entry of the failure domain has sent one.
const unknownRank = -1

// rankSettleTime is how long the ranks of two entries may differ before the lower one
// counts. Entries read the instance list every 5 s; the rest allows for two failed reads.
const rankSettleTime = 15 * time.Second

// ranks holds the position of the instance in its pool as each connected entry has sent
// it. It is not safe for concurrent use.
type ranks struct {
	byEntry map[*session]int
	// agreed is the last rank on which all entries agreed, or unknownRank.
	agreed int
	// differSince is when the entries began to disagree. It is zero if they agree.
	differSince time.Time
}

func newRanks() ranks { return ranks{byEntry: make(map[*session]int), agreed: unknownRank} }

// set records the rank that an entry has sent.
func (r *ranks) set(now time.Time, entry *session, rank int) {
	r.byEntry[entry] = rank
	r.compare(now)
}

// remove drops the rank of an entry whose connection has ended.
func (r *ranks) remove(now time.Time, entry *session) {
	delete(r.byEntry, entry)
	r.compare(now)
}

func (r *ranks) compare(now time.Time) {
	if len(r.byEntry) == 0 {
		r.differSince = time.Time{}
		return
	}
	lowest, highest := r.bounds()
	switch {
	case lowest == highest:
		r.agreed, r.differSince = lowest, time.Time{}
	case r.differSince.IsZero():
		r.differSince = now
	}
}

// current returns the rank that counts. An entry that doesn't know an instance yet, or
// has lost its own connection to it, sends the instances behind it a rank that is too
// low. The highest rank therefore counts, so that no instance takes a place that is in
// use, until the entries have disagreed for rankSettleTime: an entry may go on counting
// an instance that is listed but hangs. Without an entry, the last agreed rank counts.
func (r *ranks) current(now time.Time) int {
	if len(r.byEntry) == 0 {
		return r.agreed
	}
	lowest, highest := r.bounds()
	if !r.differSince.IsZero() && now.Sub(r.differSince) >= rankSettleTime {
		return lowest
	}
	return highest
}

// bounds returns the lowest and the highest rank. There must be at least one.
func (r *ranks) bounds() (lowest, highest int) {
	sorted := slices.Sorted(maps.Values(r.byEntry))
	return sorted[0], sorted[len(sorted)-1]
}
