package soak

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// OddRow is a step in which another writer changes rows among those of the servers and
// the operator. They must not disturb anything.
const OddRow StepKind = "odd-row"

const (
	// goPanicExitCode is the exit code of a Go program that ends by a panic.
	goPanicExitCode = 2
	// oddRowInterval is the time between two odd rows.
	oddRowInterval = 100 * time.Millisecond
	// oddRowNesting makes rows of the maximum size of a row.
	oddRowNesting = 32 << 10
	// lateStart is a start time after that of all servers.
	lateStart = 4000000000000
)

// oddRows returns rows that name no server to use. trap is an address at which no
// server listens, and engine the address of an engine.
func oddRows(trap, engine string) []string {
	row := func(changes ...string) string {
		sound := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"north","version":"v1","capacity":64,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}`, plainServices[0], trap)
		return strings.NewReplacer(changes...).Replace(sound)
	}
	nested := strings.Repeat("[", oddRowNesting) + strings.Repeat("]", oddRowNesting)
	host, _, _ := net.SplitHostPort(trap)
	return []string{
		nested, "", "null", "\xff\x00",
		row(`:64`, `:4611686018427387904`), row(`:64`, `:1e400`), row(`:64`, `:0.5`), row(`:64`, `:`+nested[:200]+nested[len(nested)-200:]),
		row(`"born":1`, `"born":9223372036854775808`), row(`"sequence":1`, `"sequence":-1`), row(`"cold_remaining_ms":0`, `"cold_remaining_ms":"x"`),
		row(`:9000"`, `:99999"`), row(`:9000"`, `:0"`), row(trap, "localhost:9000"), row(trap, host),
		row(`"state":"ready"`, `"state":"odd"`), row(`"state":"ready"`, `"state":"draining","state":"ready"`), row(`"service":`, `"other":`),
		// A complete row of a service that is not declared, at the address of an engine.
		row(plainServices[0], "odd-service", trap, engine, `"born":1`, fmt.Sprintf(`"born":%d`, int64(lateStart))),
		// Odd weights of an engine.
		row(plainServices[0], engineService, `"born":1`, fmt.Sprintf(`"model_list":[{"name":%q,"version":1e30}]`, model)),
	}
}

// startTrap listens at the address that odd rows name, as a server and as an agent.
func (t *testbed) startTrap() error {
	for _, port := range []int{serverPort, peerPort} {
		ln, err := net.Listen("tcp", address(t.slot, groupPlain, plainCount, port))
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
		t.store.Put("servers", fmt.Sprintf("odd-%d", i%3), []byte(rows[i%len(rows)]))
		if i%4 == 0 {
			t.store.Put("op", "version/"+model+"-odd", []byte(rows[i%len(rows)]))
		}
		wait(ctx, oddRowInterval)
	}
	for i := range 3 * (s.Target % 2) {
		t.store.Delete("servers", fmt.Sprintf("odd-%d", i))
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
