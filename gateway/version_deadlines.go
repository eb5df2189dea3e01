package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/versions"
	"github.com/auburnbend/auburnbend/peerlink"
)

// maxQueryDeadlines bounds the version deadlines that a placement request lists, so that it
// fits into a datagram.
const maxQueryDeadlines = 3

// setQueryDeadlines lists version deadlines in a placement request.
func setQueryDeadlines(query *peerlink.PlacementRequest, deadlines versions.Deadlines, now time.Time) {
	for i, d := range deadlines.Limit(maxQueryDeadlines) {
		millis := d.At.Sub(now).Milliseconds()
		if i == 0 {
			query.NextVersion, query.NextMillis = d.Version, millis
			continue
		}
		query.LaterVersions = append(query.LaterVersions, peerlink.VersionDeadline{int64(d.Version), millis})
	}
}

// queryDeadlines returns the version deadlines that a placement request lists.
func queryDeadlines(query *peerlink.PlacementRequest, now time.Time) versions.Deadlines {
	if query.NextVersion == 0 {
		return nil
	}
	deadlines := versions.Deadlines{{Version: query.NextVersion, At: now.Add(milliseconds(query.NextMillis))}}
	for _, d := range query.LaterVersions {
		deadlines = append(deadlines, versions.Deadline{Version: int(d[0]), At: now.Add(milliseconds(d[1]))})
	}
	return deadlines
}
