package replica

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/peerlink"
)

// newReported returns an agent that has reported version 2 to an entry, and whose engine has
// restarted since.
func newReported(t *testing.T, e *scriptedEngine) (*LoadReporter, *pendingVersion, netip.AddrPort) {
	r, c, p := newScripted(e)
	r.config.Listen = "127.0.0.1"
	agent, err := NewLoadReporter(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = agent.conn.Close() })
	c.Advance(peerlink.VerifiedTTL)
	entry := netip.MustParseAddrPort("127.0.0.1:9")
	e.state.Weights["m"] = directory.Weights{Version: 2, Complete: true}
	r.readEngineState(context.Background())
	agent.handle(entry, &peerlink.Datagram{Subscription: &peerlink.Subscription{Entry: "e", Incarnation: 1}})
	agent.send(agent.recipients())
	if agent.lastStatus.Closed || agent.lastStatus.Acknowledge {
		t.Fatalf("the engine is not reported as open: %+v", agent.lastStatus)
	}
	e.state = EngineState{StartUnixMilli: 2}
	r.readEngineState(context.Background())
	return agent, p, entry
}

// Guards against an engine that takes its version again while an entry uses it by a report
// on its earlier start.
func TestRestartedEngineTakesItsVersionOnlyWhenNoEntryUsesIt(t *testing.T) {
	for name, c := range map[string]struct {
		free func(*LoadReporter, netip.AddrPort)
		want int
	}{
		"nothing is acknowledged": {func(*LoadReporter, netip.AddrPort) {}, 0},
		"a later report is acknowledged": {func(a *LoadReporter, entry netip.AddrPort) {
			a.handle(entry, &peerlink.Datagram{ReportAck: &peerlink.ReportAck{Incarnation: a.incarnation, Sequence: a.lastStatus.Sequence}})
		}, 1},
		"the open report is acknowledged": {func(a *LoadReporter, entry netip.AddrPort) {
			a.handle(entry, &peerlink.Datagram{ReportAck: &peerlink.ReportAck{Incarnation: a.incarnation, Sequence: 1}})
		}, 0},
		"a report of an earlier process is acknowledged": {func(a *LoadReporter, entry netip.AddrPort) {
			a.handle(entry, &peerlink.Datagram{ReportAck: &peerlink.ReportAck{Incarnation: a.incarnation + 1, Sequence: 9}})
		}, 0},
		"another entry acknowledges": {func(a *LoadReporter, _ netip.AddrPort) {
			a.handle(netip.MustParseAddrPort("127.0.0.2:9"), &peerlink.Datagram{ReportAck: &peerlink.ReportAck{Incarnation: a.incarnation, Sequence: 9}})
		}, 0},
		"the report has expired": {func(a *LoadReporter, _ netip.AddrPort) { a.advance(peerlink.VerifiedTTL) }, 1},
		"the report is current": {func(a *LoadReporter, _ netip.AddrPort) {
			a.advance(peerlink.VerifiedTTL - time.Millisecond)
		}, 0},
	} {
		e := &scriptedEngine{}
		agent, p, entry := newReported(t, e)
		r := agent.replica
		r.loadNow(p)
		if agent.send(agent.recipients()); agent.lastStatus.OpensEngine() || !agent.lastStatus.Acknowledge {
			t.Errorf("%s: entries are not asked to acknowledge: %+v", name, agent.lastStatus)
		}
		c.free(agent, entry)
		r.readEngineState(context.Background())
		r.loadNow(p)
		if e.orders != c.want {
			t.Errorf("%s: %d orders, want %d", name, e.orders, c.want)
		}
	}
}

// advance moves the clock of the agent.
func (r *LoadReporter) advance(d time.Duration) {
	r.replica.config.Clock.(interface{ Advance(time.Duration) }).Advance(d)
}

// Guards against a wait before a newer version, which requests by earlier reports don't name.
func TestRestartedEngineTakesANewerVersionAtOnce(t *testing.T) {
	e := &scriptedEngine{}
	agent, p, _ := newReported(t, e)
	p.version = 3
	agent.replica.loadNow(p)
	if e.orders != 1 {
		t.Errorf("%d orders, want 1", e.orders)
	}
}

// Guards against an order that is sent after a report which opened the engine, although it
// was prepared before.
func TestReportDuringThePreparationOfAnOrderDelaysIt(t *testing.T) {
	e := &scriptedEngine{}
	r, c, p := newScripted(e)
	c.Advance(peerlink.VerifiedTTL)
	e.onPiece = func(int) {
		r.openReports.sent([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}, &peerlink.Status{Model: "m", Version: 2, Sequence: 1}, c.Now())
	}
	r.loadNow(p)
	if e.orders != 0 {
		t.Errorf("%d orders, want none", e.orders)
	}
}

// Guards against entries that learn of the end of an engine only when it is back, and may
// have ended or be cut off by then.
func TestEntriesAreAskedToAcknowledgeWhileTheEngineIsDown(t *testing.T) {
	agent, _, _ := newReported(t, &scriptedEngine{})
	agent.replica.engineState.Store(nil)
	if !agent.status().Acknowledge {
		t.Error("entries are not asked")
	}
	agent.advance(peerlink.VerifiedTTL)
	if agent.status().Acknowledge {
		t.Error("entries are asked although no report counts")
	}
}
