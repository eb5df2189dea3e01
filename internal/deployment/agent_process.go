package deployment

import (
	"context"
	"math/rand"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/auburnbend/auburnbend/agent"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/settings"
	"github.com/auburnbend/auburnbend/lib/telemetry"
	"github.com/auburnbend/auburnbend/standin/engine"
	"github.com/auburnbend/auburnbend/standin/service"
)

// AgentProcess is a running agent with its backend server.
type AgentProcess struct {
	Identity model.Identity
	Pool     string
	Agent    *agent.Agent
	// Engine is nil if the backend server is a plain service; Service is nil if it
	// is an engine.
	Engine  *engine.Server
	Service *service.Server
	Metrics *telemetry.Metrics

	deployment *Deployment
	stopped    atomic.Bool
	closeOnce  sync.Once
	listener   *trackedListener
	stagingDir string
	cfg        agent.Config
}

// StartAgent starts a backend server and its agent, and adds the agent to the
// instance list. The backend server is a plain service in OrderPool, otherwise an
// engine.
func (d *Deployment) StartAgent(domain model.FailureDomain, name, pool string) error {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listener := &trackedListener{Listener: tcp}
	p := &AgentProcess{
		Identity: d.identity(domain, name, tcp), Pool: pool,
		deployment: d, listener: listener,
	}
	cfg := agent.Config{
		Identity: p.Identity,
		Pool:     pool,
		Clock:    clock.System{},
		Rand:     rand.New(rand.NewSource(d.rand.Int63())),
		Log:      d.log.With("instance", p.Identity.Instance),
		Listener: listener,
		Dial:     listener.dial,
		Capacity: engineCapacity,
		Origin:   d.Origin,
		LinkRate: d.Options.linkRate(),
	}
	if p.Metrics, err = telemetry.New(telemetry.Config{}); err != nil {
		return err
	}
	cfg.Metrics = p.Metrics
	cfg.Gate.MaxBodyBytes = d.Options.AgentBodyBytes
	if d.Options.DisableCacheEvents {
		cfg.CacheInterval = -1
	}
	if err := p.startBackend(&cfg); err != nil {
		return err
	}
	if p.Agent, err = agent.New(cfg); err != nil {
		return err
	}
	p.cfg = cfg
	p.Agent.Start()
	d.Agents = append(d.Agents, p)
	d.InstanceList.Set(backing.Instance{ID: p.Identity.Instance, Role: backing.RoleAgent, Location: p.Identity.Location, Address: p.Identity.Address, Pool: p.Pool})
	return nil
}

func (p *AgentProcess) startBackend(cfg *agent.Config) (err error) {
	o := p.deployment.Options
	if p.Pool == OrderPool {
		cfg.BackendKind = settings.BackendPlain
		if p.Service, err = service.Start(service.Config{}); err != nil {
			return err
		}
		cfg.BackendURL = p.Service.URL()
		return nil
	}
	cfg.BackendKind = settings.BackendEngine
	ignoreFencing := p.IgnoresFencing()
	cfg.Backend.Guard.EnforcesFencing = !ignoreFencing
	if cfg.StagingDir, err = p.deployment.createStagingDir(string(p.Identity.Instance)); err != nil {
		return err
	}
	p.stagingDir = cfg.StagingDir
	p.Engine, err = engine.Start(engine.Config{
		TimeScale: o.EngineTimeScale, Capacity: engineCapacity, RestartDelay: o.EngineRestartDelay,
		IgnoreFencing: ignoreFencing,
	})
	if err != nil {
		return err
	}
	cfg.BackendURL = p.Engine.URL()
	return nil
}

// Serves reports whether the agent serves a version.
func (p *AgentProcess) Serves(v Version) bool {
	return slices.Contains(p.Agent.LiveWeights(), v.Weights)
}

// StagingDir returns the directory from which the engine loads weights.
func (p *AgentProcess) StagingDir() string { return p.stagingDir }

// IgnoresFencing reports whether the engine ignores fencing numbers. About one engine in
// three does, as some real engines do.
func (p *AgentProcess) IgnoresFencing() bool { return p.Identity.Generation%3 == 0 }

// RestartAgent ends the agent at once and starts another one at the same address, while
// its backend server continues. Identity keeps the first generation.
func (p *AgentProcess) RestartAgent() error {
	p.listener.closeAll()
	_ = p.Agent.Close()
	tcp, err := net.Listen("tcp", p.Identity.Address)
	if err != nil {
		return err
	}
	p.listener = &trackedListener{Listener: tcp}
	p.cfg.Listener, p.cfg.Dial = p.listener, p.listener.dial
	p.cfg.Rand = rand.New(rand.NewSource(p.deployment.rand.Int63()))
	p.cfg.Identity.Generation++
	if p.Agent, err = agent.New(p.cfg); err != nil {
		return err
	}
	p.Agent.Start()
	return nil
}

// Stopped reports whether Stop or Kill was called.
func (p *AgentProcess) Stopped() bool { return p.stopped.Load() }

// Stop removes the agent from the instance list, drains it as SIGTERM does and ends
// it and its backend server. It returns the error of the drain.
func (p *AgentProcess) Stop(ctx context.Context) error {
	p.stopped.Store(true)
	p.deployment.InstanceList.Remove(p.Identity.Instance)
	err := p.Agent.Drain(ctx)
	p.close()
	return err
}

// BlackholeHalf blackholes half of the connections that entries opened to this
// agent, so that the entries miss its next announcements.
func (p *AgentProcess) BlackholeHalf() { p.listener.blackholeHalf() }

// Kill ends the agent and its backend server at once: all connections break.
func (p *AgentProcess) Kill() {
	p.stopped.Store(true)
	p.deployment.InstanceList.Remove(p.Identity.Instance)
	p.listener.closeAll()
	p.close()
}

func (p *AgentProcess) close() {
	p.closeOnce.Do(func() {
		_ = p.Agent.Close()
		if p.Engine != nil {
			_ = p.Engine.Close()
		}
		if p.Service != nil {
			_ = p.Service.Close()
		}
	})
}
