package processes_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// platformMemoryMB and platformDescriptors are the limits in the settings of the processes
	// for the platform.
	platformMemoryMB    = 96
	platformDescriptors = 600
	// longAnswerBytes is the size of the answers of the route /long/.
	longAnswerBytes = 1 << 20

	callerPort, readyPort, metricsPort, firstPeerPort = 9000, 9001, 9002, 9100
)

// platformProcess is a gateway or replica process and the services that it uses.
type platformProcess struct {
	daemon
	ip string
}

func (p *platformProcess) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// startPlatform starts a program with a store, whose address is passed to settings.
func startPlatform(binary, settings string) (*platformProcess, *platformtest.Store) {
	ip, err := loopback.NewIP()
	Expect(err).NotTo(HaveOccurred())
	store := platformtest.NewStore()
	DeferCleanup(store.Close)
	text := fmt.Sprintf(`{node_name: edge-1, ip: %s, zone: north, region: n, zones: {north: n}, port_range: [%d, 9199],
platform: {address: "%s"}, limits: {memory_mb: %d, max_fds: %d},
bounds: {grace_s: 2, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 100}, %s}`,
		ip, firstPeerPort, store.Address(), platformMemoryMB, platformDescriptors, strings.ReplaceAll(settings, "IP", ip))
	path := filepath.Join(GinkgoT().TempDir(), "node.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	p := &platformProcess{ip: ip}
	p.session = start(binary, "--settings", path, "--metrics-port", fmt.Sprint(metricsPort))
	return p, store
}

// startGateway starts a gateway that sends requests to one backend server, and waits until it
// serves requests.
func startGateway() *platformProcess {
	p, store := startPlatform(programs.gateway, fmt.Sprintf(`listen: {frontend: "IP:%d", ready: "IP:%d"}`, callerPort, readyPort))
	short, long := platformtest.RespondWith(200, "done"), platformtest.RespondWith(200, strings.Repeat("x", longAnswerBytes))
	server := platformtest.NewServer("desk-1", func(s *platformtest.Server, conn net.Conn, r *platformtest.Request) {
		if strings.HasPrefix(r.Target, "/long/") {
			long(s, conn, r)
			return
		}
		short(s, conn, r)
	})
	DeferCleanup(server.Close)
	store.Put("servers", server.ID, map[string]any{
		"service": "desk", "address": server.Address(), "zone": "north", "version": "v1", "capacity": 1000, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	var routes []map[string]any
	for _, prefix := range []string{"/order/", "/long/"} {
		routes = append(routes, map[string]any{
			"name": "r" + prefix, "hostname": "a.example", "prefix": prefix, "route_type": "non_idempotent",
			"timeout_ms": 3000, "target_latency_ms": 2000, "service": "desk", "max_attempts": 1,
		})
	}
	// Makes the table long for those who read it.
	for i := range 1000 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("other-", i), "hostname": fmt.Sprintf("%x.example", uint32(i)*2654435761), "prefix": "/", "route_type": "non_idempotent", "service": "desk", "max_attempts": 1,
		})
	}
	store.Put("op", "config", map[string]any{
		"version": 1, "routes": routes, "services": []map[string]any{{"name": "desk"}},
		"tenants": []map[string]any{{"name": "carvers", "api_keys": []string{"key"}}},
		"limits":  map[string]any{"max_header_bytes": 65536, "max_body_bytes": 256 << 10, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	p.awaitAnswer(p.routed("/order/x"))
	return p
}

// routed is the callers' listener with a path that has a route.
func (p *platformProcess) routed(path string) target {
	return target{p.address(callerPort), "POST", path, "X-Attempt-Id: id-1\r\nAuthorization: Token key\r\n"}
}

func (p *platformProcess) ready() target {
	return target{p.address(readyPort), "GET", "/api/readyz", ""}
}

func (p *platformProcess) metricsPage() target {
	return target{p.address(metricsPort), "GET", "/metrics", ""}
}

// startReplica starts an agent of an engine with weights, and waits until it serves metrics.
func startReplica() *platformProcess {
	p, _ := startPlatform(programs.replica, `app: "IP:9010", service: crest`)
	p.awaitAnswer(p.metricsPage())
	return p
}
