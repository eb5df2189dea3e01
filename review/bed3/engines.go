package bed3

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// Engines are model runners, each with its agent process.
type Engines struct {
	Backends []*platformtest.Backend
	// Origin is the address of the origin of their weights.
	Origin string
}

// Weights are the weights of the model.
var Weights = platformtest.Weights{Model: "m", Pieces: 24, PieceSize: 4096}

// EngineService is the service of the engines.
const EngineService = "engines"

// StartEngines starts count engines of a zone that hold version 1, and their agents with the
// command of the deploy file.
func (b *Bed) StartEngines(count int, c platformtest.BackendConfig, recorder platformtest.Recorder) (*Engines, error) {
	origin, err := platformtest.NewOrigin(b.IP(5)+":8006", Weights, 1)
	if err != nil {
		return nil, err
	}
	b.closers = append(b.closers, origin.Close)
	e := &Engines{Origin: origin.Address()}
	for i := range count {
		ip := b.IP(40 + i)
		c.ID, c.Service, c.Domain, c.Store, c.Recorder = fmt.Sprintf("i-engine-%d", i), EngineService, "kigali-a", b.Store, recorder
		c.Weights, c.Version = &Weights, 1
		c.Listen, c.Address = ip+":8001", ip+":8001"
		backend, err := platformtest.NewBackend(c)
		if err != nil {
			return nil, err
		}
		b.closers = append(b.closers, backend.Close)
		e.Backends = append(e.Backends, backend)
		if err := b.startAgent(i, ip); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func (b *Bed) startAgent(number int, ip string) error {
	name := fmt.Sprintf("side-kigali-a-%d", number+1)
	path := filepath.Join(b.Dir, name+".yaml")
	text := fmt.Sprintf(`node_name: %q
role: "replica"
machine_class: "side"
serves: ["side"]
ip: %q
zone: "kigali-a"
region: "kigali"
zones: {kigali-a: "kigali", huye-a: "huye"}
listen: {}
port_range: [7700, 7715]
limits: {cpu_quota: 0.48, cpu_cores: 1, memory_mb: 152, max_fds: 2048, bandwidth_mbps: 7.3}
heartbeat_ms: 1200
bounds: {stability_ms: 3000, drain_timeout_ms: 2000, grace_s: 8, config_apply_ms: 2000, version_ms: 8000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 104}
app: "%[2]s:8001"
service: %[3]q
platform: {address: %[4]q, form: "table"}
`, name, ip, EngineService, b.Store.Address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(b.Dir, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(Binary("auburnbend-replica"), "--metrics-port", "7714")
	cmd.Env = append(os.Environ(), Name("settings")+"="+path)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	b.Note("agent %s started at %s", name, ip)
	b.closers = append(b.closers, func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	return nil
}
