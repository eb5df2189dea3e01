package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

// maxEarlyStatuses is the number of engines whose agents an entry subscribes to.
const maxEarlyStatuses = maxLocalEnginesPlacer + maxRemoteEngines

// earlyStatuses holds the last report on the latest incarnation at each address whose row
// has not been read yet. The row may come long after the agent's report, for example
// while the store serves old data, and agents repeat an unchanged report only after a
// while. Until then, the engine would get requests although its agent reported it as
// closed. It is not safe for concurrent use.
type earlyStatuses struct {
	byAddress map[string]earlyStatus
}

func newEarlyStatuses() *earlyStatuses {
	return &earlyStatuses{byAddress: make(map[string]earlyStatus)}
}

// add keeps a report, unless there is one on a later incarnation. If there are too many
// reports, the oldest one is dropped. A report without a start, as the agent could not
// read the engine's state, is not kept.
func (e *earlyStatuses) add(status peerlink.Status, now, sentAfter time.Time) {
	if status.StartUnixMilli == 0 {
		return
	}
	kept, known := e.byAddress[status.Address]
	if known && kept.status.StartUnixMilli > status.StartUnixMilli {
		return
	}
	if !known && len(e.byAddress) >= maxEarlyStatuses {
		e.dropOldest()
	}
	e.byAddress[status.Address] = earlyStatus{status: status, receivedAt: now, sentAfter: sentAfter}
}

// withdraw drops the report on another incarnation than that of a later report on the same
// address.
func (e *earlyStatuses) withdraw(later *peerlink.Status) {
	if e.byAddress[later.Address].status.StartUnixMilli != later.StartUnixMilli {
		delete(e.byAddress, later.Address)
	}
}

func (e *earlyStatuses) dropOldest() {
	oldest := ""
	for address, s := range e.byAddress {
		if oldest == "" || s.receivedAt.Before(e.byAddress[oldest].receivedAt) {
			oldest = address
		}
	}
	delete(e.byAddress, oldest)
}

// applyEarlyStatuses applies the reports on incarnations that are listed by now, and
// drops those on earlier ones. A listed server whose start is unknown takes any report, as
// in handleStatus. The caller holds mu.
func (g *Gateway) applyEarlyStatuses() {
	for address, early := range g.earlyStatuses.byAddress {
		server := g.directory.ByAddress(address)
		if server == nil || server.StartUnixMilli != 0 && server.StartUnixMilli < early.status.StartUnixMilli {
			continue
		}
		delete(g.earlyStatuses.byAddress, address)
		if server.StartUnixMilli == 0 || server.StartUnixMilli == early.status.StartUnixMilli {
			g.applyStatus(server, &early.status, early.receivedAt, early.sentAfter)
		}
	}
}
