package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"syscall"
	"time"
)

const (
	// configApply is config_apply_ms of the settings, and checkAfter when requests are judged
	// after a version was written.
	configApply = 2 * time.Second
	checkAfter  = configApply + time.Second

	haulierKey = "bvk9m68k7b2ex5wa5xwy"
	// strangerKey is a key that no version of the configuration holds.
	strangerKey = "qqqqqqqqqqqqqqqqqqqq"
)

func bookRoute(prefix string, priority int) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "hostname": hostName, "prefix": prefix, wire.Kind: "non_idempotent", "service": "bookings", "timeout_ms": 1500,
		"target_latency_ms": 150, "max_attempts": 2, "priority": priority,
	}
}

// ask sends a request with a key on a channel of its own, and returns its status; zero if there
// was no answer.
func (b *bed) ask(g *gateway, id, key, path string) int {
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		b.note("requester %s: %v", id, err)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(requestTextWithKey(key, "POST", path, id, 1500, []byte("a booking"))); err != nil {
		b.note("requester %s: %v", id, err)
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.note("requester %s, key %s, %s: channel ends: %v", id, key, path, err)
		return 0
	}
	b.note("requester %s, key %s, %s: %d, signature %q", id, key, path, resp.StatusCode, resp.Header.Get(wire.Signature))
	return resp.StatusCode
}

// playTenants takes the keys of tenants away, version by version; with trouble also those of
// the last one.
func playTenants(b *bed, trouble bool) (held bool, err error) {
	routes := []map[string]any{bookRoute("/book/", 1)}
	depot, haulier := tenant("depot", apiKey), tenant("haulier", haulierKey)
	b.putTenants(1, []map[string]any{depot, haulier}, routes, "bookings")
	if err := b.startRunner("booking-1", "127.62.1.2", "bookings", 6, 30*time.Millisecond); err != nil {
		return false, err
	}
	g, err := b.startGateway("edge-1", "127.62.2.1")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	b.ask(g, "both1", apiKey, "/book/a")
	b.ask(g, "both2", haulierKey, "/book/a")
	held = b.ask(g, "both3", strangerKey, "/book/a") == http.StatusUnauthorized
	b.note("version 2 takes the tenant haulier away")
	b.putTenants(2, []map[string]any{depot}, routes, "bookings")
	time.Sleep(checkAfter)
	b.ask(g, "one1", apiKey, "/book/a")
	held = b.ask(g, "one2", haulierKey, "/book/a") == http.StatusUnauthorized && held
	held = b.ask(g, "one3", strangerKey, "/book/a") == http.StatusUnauthorized && held
	if !trouble {
		return held, nil
	}
	b.note("version 3 takes the tenant depot away, the last one")
	b.putTenants(3, []map[string]any{}, routes, "bookings")
	time.Sleep(checkAfter)
	for i, key := range []string{apiKey, haulierKey, strangerKey} {
		if b.ask(g, fmt.Sprintf("none%d", i), key, "/book/a") == http.StatusOK {
			b.note("a request has run with the key %s, which version 3 doesn't hold", key)
			held = false
		}
	}
	return held, nil
}

// playRank writes a version that takes a tenant away and adds a route, whose rank is 9, or 10
// with trouble. It then kills the gateway and starts it again.
func playRank(b *bed, trouble bool) (held bool, err error) {
	first := bookRoute("/book/", 1)
	depot, haulier := tenant("depot", apiKey), tenant("haulier", haulierKey)
	b.putTenants(1, []map[string]any{depot, haulier}, []map[string]any{first}, "bookings")
	if err := b.startRunner("booking-1", "127.62.1.2", "bookings", 6, 30*time.Millisecond); err != nil {
		return false, err
	}
	g, err := b.startGateway("edge-1", "127.62.2.1")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	rank := 9
	if trouble {
		rank = 10
	}
	b.ask(g, "before1", apiKey, "/book/a")
	b.ask(g, "before2", haulierKey, "/book/a")
	b.note("version 2 takes the tenant haulier away and adds the route /batch/ with priority %d", rank)
	b.putTenants(2, []map[string]any{depot}, []map[string]any{first, bookRoute("/batch/", rank)}, "bookings")
	time.Sleep(checkAfter)
	held = b.ask(g, "after1", apiKey, "/batch/a") != http.StatusNotFound
	held = b.ask(g, "after2", haulierKey, "/book/a") != http.StatusOK && held
	b.note("the gateway is killed and started again")
	_ = g.cmd.Process.Signal(syscall.SIGKILL)
	_ = g.cmd.Wait()
	again := exec.Command(g.cmd.Path, g.cmd.Args[1:]...)
	again.Env, again.Stdout, again.Stderr = g.cmd.Env, g.cmd.Stdout, g.cmd.Stderr
	if err := again.Start(); err != nil {
		return false, err
	}
	b.mu.Lock()
	b.daemons = append(b.daemons, again)
	b.mu.Unlock()
	time.Sleep(checkAfter + 2*time.Second)
	b.ask(g, "again1", apiKey, "/book/a")
	b.ask(g, "again2", apiKey, "/batch/a")
	return held, nil
}
