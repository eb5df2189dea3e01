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

// AgentProcess is one running agent and its backend server.
type AgentProcess struct {
	Identity model.Identity
	Pool     string
	Agent    *agent.Agent
	// Engine is nil for plain services, Service for engines.
	Engine  *engine.Server
	Service *service.Server
	Metrics *telemetry.Metrics

	deployment *Deployment
	stopped    atomic.Bool
	closing    sync.Once
	listener   *cutListener
}

// StartAgent starts a backend server and its agent.
func (d *Deployment) StartAgent(domain model.FailureDomain, name, pool string) error {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listener := &cutListener{Listener: tcp}
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
	if d.Options.DisableCacheEvents {
		cfg.CacheInterval = -1
	}
	if err := p.startBackend(&cfg); err != nil {
		return err
	}
	if p.Agent, err = agent.New(cfg); err != nil {
		return err
	}
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
	// Every third engine ignores fencing numbers, as some in use do.
	ignores := p.Identity.Generation%3 == 0
	cfg.Backend.Guard.EnforcesFencing = !ignores
	if cfg.StagingDir, err = p.deployment.stagingOf(string(p.Identity.Instance)); err != nil {
		return err
	}
	p.Engine, err = engine.Start(engine.Config{
		TimeScale: o.EngineTimeScale, Capacity: engineCapacity, RestartDelay: o.EngineRestartDelay,
		IgnoreFencing: ignores,
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

// Stopped reports whether the agent was told to stop or was killed.
func (p *AgentProcess) Stopped() bool { return p.stopped.Load() }

// Stop drains the agent as SIGTERM does and returns when it has ended.
func (p *AgentProcess) Stop(ctx context.Context) error {
	p.stopped.Store(true)
	p.deployment.InstanceList.Remove(p.Identity.Instance)
	err := p.Agent.Drain(ctx)
	p.close()
	return err
}

// BlackholeHalf makes half of the entries' connections to this agent go silent for
// good, so that they miss what it announces next.
func (p *AgentProcess) BlackholeHalf() { p.listener.silenceHalf() }

// Kill ends the instance at once, engine included: all its connections break.
func (p *AgentProcess) Kill() {
	p.stopped.Store(true)
	p.deployment.InstanceList.Remove(p.Identity.Instance)
	p.listener.cut()
	p.close()
}

func (p *AgentProcess) close() {
	p.closing.Do(func() {
		_ = p.Agent.Close()
		if p.Engine != nil {
			_ = p.Engine.Close()
		}
		if p.Service != nil {
			_ = p.Service.Close()
		}
	})
}
