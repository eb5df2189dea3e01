package soak

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// OddRow is a step in which another writer changes rows among those of the servers and
// the operator. They must not disturb anything.
const OddRow StepKind = "odd-row"

const (
	// goPanicExitCode is the exit code of a Go program that ends by a panic.
	goPanicExitCode = 2
	// oddRowInterval is the time between two odd rows.
	oddRowInterval = 100 * time.Millisecond
)

// oddRows returns the odd rows of a step whose complete row has the address of an engine.
func oddRows(trap, engine string) [][]byte {
	return platformtest.OddRows{PlainService: plainServices[0], EngineService: engineService, Model: model, Trap: trap, Engine: engine}.Rows()
}

// startTrap listens at the address that odd rows name, as a server and as an agent.
func (t *testbed) startTrap() error {
	for _, port := range []int{serverPort, peerPort} {
		ln, err := loopback.Listen(address(t.slot, groupPlain, plainCount, port))
		if err != nil {
			return err
		}
		t.closers = append(t.closers, func() { _ = ln.Close() })
		go t.recordTrapped(ln)
	}
	return nil
}

// writeOddRows writes odd rows until the step ends. Every other step leaves the last
// ones in the store.
func (t *testbed) writeOddRows(ctx context.Context, s Step) {
	trap := address(t.slot, groupPlain, plainCount, serverPort)
	rows := oddRows(trap, address(t.slot, groupEngine, s.Target%engineCount, serverPort))
	end := t.recorder.now() + s.Duration
	for i := s.Target; t.recorder.now() < end && ctx.Err() == nil; i++ {
		t.store.PutOddRow(fmt.Sprintf("odd-%d", i%3), rows[i%len(rows)], i%4 == 0)
		wait(ctx, oddRowInterval)
	}
	for i := range 3 * (s.Target % 2) {
		t.store.DeleteOddRow(fmt.Sprintf("odd-%d", i))
	}
}

// recordTrapped records the connections to a listener of which odd rows name the
// address.
func (t *testbed) recordTrapped(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
		t.recorder.update(func(rec *recorder, now time.Duration) { rec.trapped = append(rec.trapped, now) })
	}
}

// checkOddRows checks that no odd row has named a server to use.
func (c *checker) checkOddRows() {
	for _, at := range c.recorder.trapped {
		c.addViolation("ROUTE", at, "a connection to an address that only odd rows name")
	}
}

// checkPanics checks that no daemon has ended by itself.
func (c *checker) checkPanics() {
	for _, name := range c.recorder.panicked {
		c.addViolation("LOST", 0, "%s has ended by itself", name)
	}
}
