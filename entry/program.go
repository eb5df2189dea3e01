package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/daemon"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/platform/httpplatform"
	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/settings"
	"github.com/auburnbend/auburnbend/lib/telemetry"
)

// Program returns the daemon of an entry instance.
func Program() daemon.Program[*settings.Entry] {
	return daemon.Program[*settings.Entry]{
		Name:    "auburnbend-entry",
		Short:   "Serves callers and operators of a model fleet",
		Long:    "auburnbend-entry runs on the entry instances, behind the platform's balancer. It\nserves callers' requests and operators' calls, and tracks the distribution of\nweights in its failure domain.",
		Example: "  auburnbend-entry --config entry.ini --check\n  auburnbend-entry --config entry.ini",
		Load:    settings.LoadEntry,
		Check: func(s *settings.Entry) error {
			_, err := security.New(s.Transport)
			return err
		},
		Common: func(s *settings.Entry) daemon.Common {
			return daemon.Common{Log: s.Log, Drain: s.Drain, Identity: s.Instance}
		},
		Start: start,
	}
}

// process is an entry with its metrics endpoint.
type process struct {
	*Entry
	metrics  *telemetry.Metrics
	endpoint *telemetry.Endpoint
}

// Close ends the entry and its endpoint.
func (p *process) Close() error {
	err := p.Entry.Close()
	ctx := context.Background()
	if p.endpoint != nil {
		_ = p.endpoint.Close(ctx)
	}
	_ = p.metrics.Close(ctx)
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
	p := &process{}
	if p.metrics, err = telemetry.New(telemetry.Config{}); err != nil {
		return nil, err
	}
	if s.Listen.Metrics != "" {
		if p.endpoint, err = p.metrics.Listen(s.Listen.Metrics); err != nil {
			return nil, err
		}
	}
	seed := randomSeed()
	p.Entry = New(Config{
		Identity: model.Identity{
			Instance:   s.Instance.ID,
			Generation: model.Generation(seed[0]),
			Location:   s.Instance.Location(),
			Address:    s.Listen.Advertise,
		},
		Clock:     clock.System{},
		Rand:      mathrand.New(mathrand.NewPCG(seed[1], seed[2])),
		Log:       log,
		Metrics:   TelemetryMetrics(p.metrics),
		Callers:   callers,
		Peers:     peers,
		Operators: operators,
		Policy:    policy,
		Table:     httpplatform.NewTable(httpplatform.Config{URL: s.Platform.TableService}),
		List:      httpplatform.NewInstances(httpplatform.Config{URL: s.Platform.InstanceList}),
	})
	p.Watch(func(v *config.View) { p.metrics.Declare(v.Config) })
	p.Start()
	return p, nil
}

// randomSeed returns numbers that differ between processes that start at once.
func randomSeed() [3]uint64 {
	var b [24]byte
	// Read never fails: the runtime stops the process instead.
	_, _ = rand.Read(b[:])
	return [3]uint64{
		binary.LittleEndian.Uint64(b[:8]),
		binary.LittleEndian.Uint64(b[8:16]),
		binary.LittleEndian.Uint64(b[16:]),
	}
}
