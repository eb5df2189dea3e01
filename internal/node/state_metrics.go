package node

import (
	"cmp"
	"context"
	"strconv"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/auburnbend/auburnbend/gateway"
)

// registerStateMetrics adds gauges for the entry's view of the deployment.
// storeUnavailable is true while the store does not answer.
func (m *metrics) registerStateMetrics(g *gateway.Gateway, storeUnavailable *atomic.Bool) error {
	var gaugeErr error
	gauge := func(name, description, unit string) metric.Float64ObservableGauge {
		instrument, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit(unit))
		if err != nil {
			gaugeErr = err
		}
		return instrument
	}
	config := gauge("config_version", "version of the configuration in force", "")
	age := gauge("config_age", "time since the configuration came into force here", "s")
	servers := gauge("backend_servers", "backend servers by service and condition", "")
	paced := gauge("backend_servers_paced", "backend servers by service whose concurrency is limited because they have just started or recovered", "")
	engines := gauge("engines", "engines by model and version of the weights", "")
	retriesLeft := gauge("repeats_left", "repeats that the retry budget leaves to this entry", "")
	open := gauge("requests_open", "requests that are being served", "")
	granted := gauge("places_granted", "requests of other entries that were placed here and are being served", "")
	quarantined := gauge("contents_quarantined", "contents that are refused because backend servers ended while they ran them", "")
	evacuated := gauge("failure_domains_evacuated", "failure domains whose backend servers get no requests because the operator evacuates them", "")
	store := gauge("store_reachable", "1 if the store answers", "")
	held := gauge("memory_held", "memory taken by long bodies of requests, and by long responses and events", "By")
	counter := func(name, description string) metric.Int64ObservableCounter {
		instrument, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description))
		if err != nil {
			gaugeErr = err
		}
		return instrument
	}
	delayed := counter("memory_delays", "bodies that waited for memory, by kind, since the start")
	refused := counter("memory_refusals", "bodies for which there was no memory, by kind, since the start")
	decisions := counter("admission_decisions", "ranked requests placed by this entry, by service, rank and decision, since the start")
	share := gauge("admission_share", "share of the latency limit up to which requests are admitted, by service and rank", "")
	waiting := gauge("requests_waiting", "requests that wait for a placement", "")
	lingering := gauge("connections_lingering", "connections to backend servers that have answered and not taken the whole request yet", "")
	lingeringCut := counter("requests_not_taken", "requests that backend servers have answered and did not take as a whole, since the start")
	signals, err := m.meter.Int64ObservableCounter("server_signals", metric.WithDescription("drains and pauses of backend servers by kind and source, since the start"))
	if err := cmp.Or(gaugeErr, err); err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := g.State()
		o.ObserveFloat64(config, float64(s.ConfigVersion))
		o.ObserveFloat64(age, s.ConfigAge.Seconds())
		o.ObserveFloat64(open, float64(s.OpenRequests))
		o.ObserveFloat64(granted, float64(s.GrantedLeases))
		o.ObserveFloat64(quarantined, float64(s.Quarantined))
		o.ObserveFloat64(evacuated, float64(s.EvacuatedDomains))
		o.ObserveFloat64(waiting, float64(s.Waiting))
		o.ObserveFloat64(lingering, float64(s.Lingering))
		o.ObserveInt64(lingeringCut, s.LingeringCut)
		for service, ranks := range s.Admission {
			for _, r := range ranks {
				rank := []attribute.KeyValue{attribute.String("service", service), attribute.Int("rank", r.Rank)}
				o.ObserveFloat64(share, r.Share, metric.WithAttributes(rank...))
				for decision, n := range map[string]int64{"admitted": r.Admitted, "waited": r.Waited, "refused": r.Refused} {
					o.ObserveInt64(decisions, n, metric.WithAttributes(append(rank[:2:2], attribute.String("decision", decision))...))
				}
			}
		}
		o.ObserveFloat64(store, boolToFloat(!storeUnavailable.Load()))
		for kind, memory := range map[string]gateway.HeldMemory{"request": s.HeldBodies, "response": s.HeldResponses} {
			attributes := metric.WithAttributes(attribute.String("kind", kind))
			o.ObserveFloat64(held, float64(memory.Bytes), attributes)
			o.ObserveInt64(delayed, memory.Delayed, attributes)
			o.ObserveInt64(refused, memory.Refused, attributes)
		}
		for group, n := range s.Servers {
			o.ObserveFloat64(servers, float64(n), metric.WithAttributes(
				attribute.String("service", group.Service), attribute.String("condition", string(group.Condition))))
		}
		for service, n := range s.ConcurrencyLimited {
			o.ObserveFloat64(paced, float64(n), metric.WithAttributes(attribute.String("service", service)))
		}
		for signal, n := range s.Signals {
			o.ObserveInt64(signals, n, metric.WithAttributes(attribute.String("kind", string(signal.Kind)), attribute.String("source", signal.Source)))
		}
		for version, n := range s.Engines {
			o.ObserveFloat64(engines, float64(n), metric.WithAttributes(
				attribute.String("model", version.Model), attribute.String("version", strconv.Itoa(version.Version))))
		}
		for service, left := range s.RetriesLeft {
			o.ObserveFloat64(retriesLeft, left, metric.WithAttributes(attribute.String("service", service)))
		}
		return nil
	}, config, age, servers, paced, engines, retriesLeft, open, granted, quarantined, evacuated, store, held, delayed, refused, signals, decisions, share, waiting, lingering, lingeringCut)
	return err
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
