package replica

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/peerlink"
)

// Guards against a version that the engine takes again while an entry holds a report from
// before: the model keeps every report that was sent.
func TestOpenReportsOutliveNeitherAcknowledgementNorExpiry(t *testing.T) {
	type sentReport struct {
		entry    netip.AddrPort
		status   peerlink.Status
		at       time.Time
		overdone bool
	}
	entries := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:9"), netip.MustParseAddrPort("10.0.0.2:9"), {}}
	rapid.Check(t, func(t *rapid.T) {
		o, now, sequence := newOpenReports(), time.Unix(1000, 0), uint64(0)
		var sent []*sentReport
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			entry := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				sequence++
				status := peerlink.Status{Model: "m", Version: rapid.IntRange(1, 3).Draw(t, "version"), StartUnixMilli: rapid.Int64Range(1, 3).Draw(t, "start"), Sequence: sequence}
				o.sent([]netip.AddrPort{entry}, &status, now)
				sent = append(sent, &sentReport{entry: entry, status: status, at: now})
			case 1:
				ack := peerlink.ReportAck{Sequence: rapid.Uint64Range(0, sequence+1).Draw(t, "acknowledged")}
				o.acknowledged(entry, &ack, now)
				for _, s := range sent {
					s.overdone = s.overdone || s.entry == entry && s.status.Sequence < ack.Sequence
				}
			default:
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(peerlink.VerifiedTTL)).Draw(t, "time")))
			}
			for version := 1; version <= 3; version++ {
				want := false
				for _, s := range sent {
					want = want || s.status.Version == version && !s.overdone && now.Sub(s.at) < peerlink.VerifiedTTL
				}
				if got := o.mayBeUsed("m", version, 3, now); got != want {
					t.Fatalf("version %d may be used: %v, want %v", version, got, want)
				}
			}
		}
	})
}

// Guards against a start under the same ID that is taken for another server.
func TestOpenReportsOnEarlierStartsDoNotCountAfterAFirstStart(t *testing.T) {
	now, entry, other := time.Unix(1000, 0), netip.MustParseAddrPort("10.0.0.1:9"), netip.MustParseAddrPort("10.0.0.2:9")
	for name, c := range map[string]struct{ reported, first, start int64 }{
		"nothing is known of its ID":     {reported: 1, start: 2},
		"an earlier start was the first": {reported: 1, first: 1, start: 2},
		"the report is on this start":    {reported: 2, first: 2, start: 2},
		"it has started once more":       {reported: 1, first: 2, start: 3},
	} {
		o := newOpenReports()
		o.sent([]netip.AddrPort{entry}, &peerlink.Status{Model: "m", Version: 2, StartUnixMilli: c.reported, Sequence: 1}, now)
		o.acknowledged(other, &peerlink.ReportAck{Sequence: 9, FirstStart: c.first}, now)
		if !o.mayBeUsed("m", 2, c.start, now) {
			t.Errorf("%s: the report does not count", name)
		}
		o.acknowledged(other, &peerlink.ReportAck{Sequence: 9, FirstStart: c.start}, now)
		if o.mayBeUsed("m", 2, c.start, now) != (c.reported == c.start) {
			t.Errorf("%s: what counts after the ID is known to be new is wrong", name)
		}
	}
}

// Guards against an engine that takes a version after a restart together with its agent,
// which does not know what was reported before.
func TestAnyVersionMayHaveBeenReportedOfAnEngineThatIsFoundEmpty(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newOpenReports()
	o.sentEarlier(&EngineState{StartUnixMilli: 2}, now)
	o.acknowledged(netip.MustParseAddrPort("10.0.0.1:9"), &peerlink.ReportAck{Sequence: 9}, now)
	if !o.mayBeUsed("m", 2, 2, now.Add(peerlink.VerifiedTTL-time.Millisecond)) {
		t.Error("a report of an earlier process does not count")
	}
	if o.mayBeUsed("m", 2, 2, now.Add(peerlink.VerifiedTTL)) {
		t.Error("a report of an earlier process counts for too long")
	}
	o.sentEarlier(&EngineState{StartUnixMilli: 2}, now)
	o.acknowledged(netip.MustParseAddrPort("10.0.0.1:9"), &peerlink.ReportAck{Sequence: 9, FirstStart: 2}, now)
	if o.mayBeUsed("m", 2, 2, now) {
		t.Error("a report on another ID counts")
	}
}
