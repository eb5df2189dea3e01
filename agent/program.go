package agent

import (
	"context"
	"math/rand"
	"net"

	"github.com/auburnbend/auburnbend/lib/backing/httpbacking"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/daemon"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// Program returns the agent daemon.
func Program() daemon.Program[*settings.Agent] {
	return daemon.Program[*settings.Agent]{
		Name:    "auburnbend-agent",
		Short:   "Runs the agent of one backend server",
		Long:    "auburnbend-agent runs beside each backend server. It forwards requests to it,\ntransfers weights to and from the instance, and orders the engine to load them.",
		Example: "  auburnbend-agent --config agent.ini --check\n  auburnbend-agent --config agent.ini",
		Load:    settings.LoadAgent,
		Check: func(s *settings.Agent) error {
			_, err := security.New(s.Transport)
			return err
		},
		Common: func(s *settings.Agent) daemon.CommonSettings {
			return daemon.CommonSettings{Log: s.Log, Drain: s.Drain, Identity: s.Instance}
		},
		Start: start,
	}
}

// process is an agent together with its metrics endpoint.
type process struct {
	*Agent
	metrics *daemon.Metrics
}

// Failed returns nil: an agent keeps running if its backend server is down.
func (p *process) Failed() <-chan error { return nil }

// Close stops the agent and its metrics endpoint.
func (p *process) Close() error {
	err := p.Agent.Close()
	p.metrics.Close()
	return err
}

func start(_ context.Context, s *settings.Agent, log *eventlog.Logger) (daemon.Process, error) {
	policy, err := security.New(s.Transport)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	limited := connlimit.Listen(listener, daemon.NewConnLimits(int64(s.Memory.Limit)).Peers)
	p := &process{}
	if p.metrics, err = daemon.OpenMetrics(s.Listen.Metrics); err != nil {
		return nil, err
	}
	cfg := Config{
		Identity: model.Identity{
			Instance:   s.Instance.ID,
			Generation: model.Generation(daemon.RandomUint64()),
			Location:   s.Instance.Location(),
			Address:    s.Listen.Advertise,
		},
		Pool:         s.Backend.Pool,
		Clock:        clock.System{},
		Rand:         rand.New(rand.NewSource(int64(daemon.RandomUint64()))),
		Log:          log,
		Metrics:      p.metrics,
		Listener:     limited,
		Policy:       policy,
		BackendKind:  s.Backend.Kind,
		BackendURL:   s.Backend.Address,
		Capacity:     s.Backend.Capacity,
		Origin:       httpbacking.NewSource(httpbacking.Config{URL: s.Platform.Origin}),
		Table:        httpbacking.NewTable(httpbacking.Config{URL: s.Platform.TableService}),
		StagingDir:   s.Transfer.Staging,
		StagingBytes: int64(s.Transfer.StagingBytes),
		LinkRate:     s.Transfer.LinkRate.BytesPerSecond(),
		UploadSlots:  s.Transfer.UploadSlots,
	}
	daemon.LimitMemory(int64(s.Memory.Limit))
	cfg.Gate.MaxBodyBytes = s.Memory.BodyBytes()
	cfg.MaxEventBytes = s.Memory.ResponseBytes() / 2
	cfg.Gate.MaxResponseBytes = s.Memory.ResponseBytes() - cfg.MaxEventBytes
	cfg.Backend.Guard.EnforcesFencing = s.Backend.Fencing == settings.FencingChecked
	if s.Platform.WeightStore != "" {
		cfg.WeightStore = httpbacking.NewSource(httpbacking.Config{URL: s.Platform.WeightStore})
	}
	if p.Agent, err = New(cfg); err != nil {
		return nil, err
	}
	if err := p.metrics.ObserveMemory(p.Budgets()); err != nil {
		return nil, err
	}
	if err := connlimit.Observe(p.metrics.Meter(), map[string]*connlimit.Limiter{"peers": limited.Limiter}); err != nil {
		return nil, err
	}
	p.Start()
	return p, nil
}
