package entry

import (
	"context"
	"math/rand/v2"
	"net"

	"github.com/auburnbend/auburnbend/lib/backing/httpbacking"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/daemon"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// Program returns the program of the entry daemon.
func Program() daemon.Program[*settings.Entry] {
	return daemon.Program[*settings.Entry]{
		Name:    "auburnbend-entry",
		Short:   "Serves callers and operators of a model fleet",
		Long:    "auburnbend-entry runs on entry instances behind the platform's load balancer. It\nserves the requests of callers and the calls of operators, and tracks the\ndistribution of weights in its failure domain.",
		Example: "  auburnbend-entry --config entry.ini --check\n  auburnbend-entry --config entry.ini",
		Load:    settings.LoadEntry,
		Check: func(s *settings.Entry) error {
			_, err := security.New(s.Transport)
			return err
		},
		Common: func(s *settings.Entry) daemon.CommonSettings {
			return daemon.CommonSettings{Log: s.Log, Drain: s.Drain, Identity: s.Instance}
		},
		Start: start,
	}
}

// process is an Entry with its metrics endpoint.
type process struct {
	*Entry
	metrics *daemon.Metrics
}

// Close stops the entry and the metrics endpoint.
func (p *process) Close() error {
	err := p.Entry.Close()
	p.metrics.Close()
	return err
}

func start(_ context.Context, s *settings.Entry, log *eventlog.Logger) (daemon.Process, error) {
	policy, err := security.New(s.Transport)
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, err
	}
	peers, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	operators, err := net.Listen("tcp", s.Listen.Operators)
	if err != nil {
		return nil, err
	}
	daemon.LimitMemory(int64(s.Memory.Limit))
	limits := daemon.NewConnLimits(int64(s.Memory.Limit))
	limitedCallers, limitedPeers, limitedOperators := connlimit.Listen(callers, limits.Callers), connlimit.Listen(peers, limits.Peers), connlimit.Listen(operators, limits.Operators)
	instances := httpbacking.NewInstances(httpbacking.Config{URL: s.Platform.InstanceList})
	instances.OnInvalid = func(id string, err error) { log.Log(eventlog.InstanceInvalid, "instance", id, "err", err) }
	p := &process{}
	if p.metrics, err = daemon.OpenMetrics(s.Listen.Metrics); err != nil {
		return nil, err
	}
	p.Entry = New(Config{
		Identity: model.Identity{
			Instance:   s.Instance.ID,
			Generation: model.Generation(daemon.RandomUint64()),
			Location:   s.Instance.Location(),
			Address:    s.Listen.Advertise,
		},
		Clock:            clock.System{},
		Rand:             rand.New(rand.NewPCG(daemon.RandomUint64(), daemon.RandomUint64())),
		Log:              log,
		Metrics:          NewTelemetryMetrics(p.metrics.Metrics),
		CallerListener:   limitedCallers,
		PeerListener:     limitedPeers,
		OperatorListener: limitedOperators,
		Policy:           policy,
		Table:            httpbacking.NewTable(httpbacking.Config{URL: s.Platform.TableService}),
		InstanceList:     instances,
		MaxBodyBytes:     s.Memory.BodyBytes(),
		MaxResponseBytes: s.Memory.ResponseBytes(),
	})
	if err := p.metrics.ObserveMemory(p.Budgets()); err != nil {
		return nil, err
	}
	if err := p.metrics.ObservePaced(p.fleet.ConcurrencyLimited); err != nil {
		return nil, err
	}
	if err := connlimit.Observe(p.metrics.Meter(), map[string]*connlimit.Limiter{
		"callers": limitedCallers.Limiter, "peers": limitedPeers.Limiter, "operators": limitedOperators.Limiter,
	}); err != nil {
		return nil, err
	}
	p.OnConfigChange(func(v *config.View) { p.metrics.DeclareLabels(v.Config) })
	p.Start()
	return p, nil
}
