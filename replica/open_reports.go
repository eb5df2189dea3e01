package replica

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

// openReport is a report by which an entry may send requests to the engine.
type openReport struct {
	// model is empty if it may have been any version of any model.
	model   string
	version int
	// start is the engine's start that the report is about, in Unix milliseconds, or zero for
	// any earlier one.
	start int64
	// sequence is the number of the report.
	sequence uint64
	sentAt   time.Time
}

// openReports are the reports by which entries may still use the engine. Requests name the
// engine's ID and a version, so that an engine which has taken the same version again, or
// restarted under its ID and taken it, runs requests that are sent by a report from before.
// An entry that acknowledges a later report uses the engine by none of them. It is safe for
// concurrent use.
type openReports struct {
	mu sync.Mutex
	// byEntry holds the last report of each version by the address of the entry.
	byEntry map[netip.AddrPort][]openReport
	// firstStart is the last start of the engine that an entry knows to be the first one under
	// its ID. Reports on earlier starts are on other IDs.
	firstStart int64
}

func newOpenReports() *openReports {
	return &openReports{byEntry: make(map[netip.AddrPort][]openReport)}
}

// sent records a report that opens the engine.
func (o *openReports) sent(to []netip.AddrPort, s *peerlink.Status, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	for _, entry := range to {
		reports := slices.DeleteFunc(o.byEntry[entry], func(r openReport) bool {
			return r.model == s.Model && r.version == s.Version && r.start == s.StartUnixMilli
		})
		o.byEntry[entry] = append(reports, openReport{model: s.Model, version: s.Version, start: s.StartUnixMilli, sequence: s.Sequence, sentAt: now})
	}
}

// sentEarlier records what an earlier process may have reported before this one first read
// the engine's state, to entries that this one doesn't know. Of an engine without weights
// that may have been any version, on an earlier start.
func (o *openReports) sentEarlier(state *EngineState, now time.Time) {
	if len(state.Weights) == 0 {
		o.sent([]netip.AddrPort{{}}, &peerlink.Status{Sequence: math.MaxUint64}, now)
	}
	for model, w := range state.Weights {
		o.sent([]netip.AddrPort{{}}, &peerlink.Status{Model: model, Version: w.Version, StartUnixMilli: state.StartUnixMilli, Sequence: math.MaxUint64}, now)
	}
}

// acknowledged records that an entry has applied a report of this process, and what it
// knows of the engine.
func (o *openReports) acknowledged(entry netip.AddrPort, a *peerlink.ReportAck, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byEntry[entry] = slices.DeleteFunc(o.byEntry[entry], func(r openReport) bool { return r.sequence < a.Sequence })
	o.expire(now)
	if a.FirstStart != 0 {
		o.firstStart = a.FirstStart
	}
}

// mayBeUsed reports whether an entry may send requests that name a version and that the
// given start of the engine would run.
func (o *openReports) mayBeUsed(model string, version int, start int64, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	for _, reports := range o.byEntry {
		for _, r := range reports {
			named := r.model == "" || r.model == model && r.version == version
			if named && (r.start == start || o.firstStart != start) {
				return true
			}
		}
	}
	return false
}

// any reports whether there is such a report at all.
func (o *openReports) any(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	return len(o.byEntry) > 0
}

// expire drops the reports that have ceased to count. The caller holds mu.
func (o *openReports) expire(now time.Time) {
	for entry, reports := range o.byEntry {
		reports = slices.DeleteFunc(reports, func(r openReport) bool { return now.Sub(r.sentAt) >= peerlink.VerifiedTTL })
		if o.byEntry[entry] = reports; len(reports) == 0 {
			delete(o.byEntry, entry)
		}
	}
}
