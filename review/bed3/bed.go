// Package bed3 starts the project's daemons as processes before small stand-ins of the
// platform and of backend servers, for the cases of the third review.
package bed3

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// Bed is a deployment on loopback addresses.
type Bed struct {
	// Store is the stand-in of the platform's store.
	Store *platformtest.Store
	// Dir is the temporary folder of settings and logs.
	Dir string

	subnet  string
	mu      sync.Mutex
	record  *os.File
	began   time.Time
	closers []func()
}

// New returns a Bed without processes whose record goes to a file.
func New(record string) (*Bed, error) {
	dir, err := os.MkdirTemp("", "bed3")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &Bed{Store: platformtest.NewStore(), Dir: dir, record: file, began: time.Now(), subnet: fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%250)}
	b.closers = append(b.closers, func() {
		if os.Getenv("BED3_KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}, b.Store.Close)
	return b, nil
}

// Close ends all processes and stand-ins.
func (b *Bed) Close() {
	for i := len(b.closers) - 1; i >= 0; i-- {
		b.closers[i]()
	}
}

// Note writes a line to the record.
func (b *Bed) Note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// IP returns a loopback address of this Bed.
func (b *Bed) IP(number int) string { return fmt.Sprintf("%s.%d", b.subnet, number) }

// Entry is a gateway process.
type Entry struct {
	// IP is its address, Callers that for callers, Ready that of the readiness check.
	IP, Callers, Ready string

	bed      *Bed
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// Settings are the settings of an entry that cases change.
type Settings struct {
	Name, IP, Zone, Store string
	MemoryMB              int
	// StabilityMS and ConfigApplyMS are bounds; zero takes those of umurage-crest.
	StabilityMS, ConfigApplyMS int
}

// Text returns the settings file, with the bounds of the sites.
func (s Settings) Text() string {
	return fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "edge"
serves: ["edge"]
ip: %q
zone: %[3]q
region: "kigali"
zones: {kigali-a: "kigali", huye-a: "huye"}
listen: {frontend: "%[2]s:8005", ready: "%[2]s:8002"}
port_range: [7700, 7715]
limits: {cpu_quota: 0.4, cpu_cores: 1, memory_mb: %[4]d, max_fds: 4100, bandwidth_mbps: 1000.0}
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, reuse_after_s: 2, stability_ms: %[6]d, ack_timeout_ms: 4000, catch_up_s: 4, drain_timeout_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: %[7]d, rollback_slack_ms: 250, max_skew_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 104, recover_s: 12, iteration_ms: 120, version_ms: 8000}
platform: {address: %[5]q, form: "table"}
`, s.Name, s.IP, s.Zone, s.MemoryMB, s.Store, cmp.Or(s.StabilityMS, 3000), cmp.Or(s.ConfigApplyMS, 2000))
}

// StartEntry starts a gateway with the command of the deploy file and waits until it is ready.
func (b *Bed) StartEntry(s Settings) (*Entry, error) {
	if s.MemoryMB == 0 {
		s.MemoryMB = 284
	}
	e := &Entry{IP: s.IP, Callers: s.IP + ":8005", Ready: s.IP + ":8002", bed: b, settings: filepath.Join(b.Dir, s.Name+".yaml"), done: make(chan struct{})}
	if err := e.WriteSettings(s); err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(b.Dir, s.Name+".log"))
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command(Binary("auburnbend-gateway"), "--metrics-port", "7715")
	e.cmd.Env = append(os.Environ(), Name("settings")+"="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = logs, logs
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := e.cmd.Wait()
		b.Note("gateway %s has ended: %v", s.Name, err)
		close(e.done)
	}()
	b.closers = append(b.closers, func() { _ = e.cmd.Process.Kill(); <-e.done })
	b.Note("gateway %s started, callers at %s", s.Name, e.Callers)
	return e, e.awaitReady()
}

// WriteSettings replaces the settings file.
func (e *Entry) WriteSettings(s Settings) error {
	if s.MemoryMB == 0 {
		s.MemoryMB = 284
	}
	if err := os.WriteFile(e.settings+".new", []byte(s.Text()), 0o600); err != nil {
		return err
	}
	return os.Rename(e.settings+".new", e.settings)
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.bed.Note("signal %v to the gateway at %s", s, e.IP)
	_ = e.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (e *Entry) Ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *Entry) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + e.Ready + Name("ready")); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("gateway %s is not ready", e.IP)
}

// Binary returns the path of a daemon that the build line of the deploy file has built.
func Binary(name string) string {
	if dir := os.Getenv("BED3_BINARIES"); dir != "" {
		return filepath.Join(dir, name)
	}
	return filepath.Join("target", name)
}

// Route is a route of the configuration.
type Route map[string]any

// PutConfig writes a configuration with one tenant and one plain service.
func (b *Bed) PutConfig(version int, routes ...Route) {
	b.Store.Put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "bakers", Name("keys"): []string{Key}, "priority": 1}},
	})
	b.Note("configuration %d is acknowledged", version)
}

// NewRoute returns a route to the plain service.
func NewRoute(prefix, kind string) Route {
	return Route{
		"name": "r" + prefix, "hostname": "bed.example", "prefix": prefix, Name("kind"): kind, "timeout_ms": 6000, "target_latency_ms": 400,
		"priority": 1, "service": "desk", "max_attempts": 2, "public": false, "session_affinity": false, "stream_resume": false, "gap_target_ms": 0,
	}
}

// Exchange is one request at a Server.
type Exchange struct {
	Conn    *net.TCPConn
	Reader  *bufio.Reader
	Request *http.Request
	ID      string
}

// Body reads the body.
func (x *Exchange) Body() []byte {
	data, _ := io.ReadAll(x.Request.Body)
	return data
}

// StartServer starts a server that serves one request on each connection, and registers it.
func (b *Bed) StartServer(number int, id string, serve func(*Exchange)) error {
	address := b.IP(number) + ":8080"
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.closers = append(b.closers, func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				x := &Exchange{Conn: conn.(*net.TCPConn), Reader: reader, Request: req, ID: req.Header.Get(Name("attempt"))}
				if expected := req.Header.Get(Name("expected")); expected != "" && expected != id {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", Name("instance"), id)
					return
				}
				b.Note("request %s reaches server %s", x.ID, id)
				serve(x)
			}()
		}
	}()
	row, _ := json.Marshal(map[string]any{
		"service": "desk", "address": address, "zone": "kigali-a", "version": "v1", "capacity": 6, "state": "ready",
		Name("cold"): 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	b.Store.Put("servers", id, row)
	return nil
}
