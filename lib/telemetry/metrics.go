package telemetry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// meterName is the instrumentation scope.
const meterName = "github.com/auburnbend/auburnbend"

// Metrics contains the instruments of one process.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	queueTime, firstToken, betweenTokens, totalTime metric.Float64Histogram

	transferTime  metric.Float64Histogram
	transferBytes metric.Int64Counter
	outcomes      metric.Int64Counter
	invalidInputs metric.Int64Counter

	tenants, classes, models, reasons *labelNames
	requests                          sync.Map // requestKey to *RequestMetrics
	outcomeOptions                    sync.Map // outcomeKey to []metric.AddOption
	invalidInputOptions               [inputKindCount][]metric.AddOption
}

type requestKey struct {
	tenant model.Tenant
	class  model.Class
}

// New creates the instruments with a registry of their own, so that only Handler
// and Listen serve them.
func New(cfg Config) (*Metrics, error) {
	cfg.applyDefaults()
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo(), otelprom.WithNamespace("auburnbend"))
	if err != nil {
		return nil, merry.Prepend(err, "metrics exporter")
	}
	m := &Metrics{
		registry: registry,
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithCardinalityLimit(maxSeriesPerInstrument)),
		tenants:  newLabelNames(cfg.MaxLabelNames), classes: newLabelNames(cfg.MaxLabelNames), models: newLabelNames(cfg.MaxLabelNames),
		reasons: newLabelNames(cfg.MaxLabelNames),
	}
	for _, r := range outcome.Reasons() {
		m.reasons.add([]string{string(r)})
	}
	if err := m.createInstruments(); err != nil {
		return nil, merry.Prepend(err, "metrics instruments")
	}
	for i := range inputKindCount {
		m.invalidInputOptions[i] = []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("input", i.String())))}
	}
	return m, nil
}

func (m *Metrics) createInstruments() error {
	meter := m.provider.Meter(meterName)
	histogram := func(name, description string, buckets []float64) (metric.Float64Histogram, error) {
		return meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description), metric.WithExplicitBucketBoundaries(buckets...))
	}
	var errs [8]error
	m.queueTime, errs[0] = histogram("request.queue_time", "Time that a request waited before it was dispatched.", requestBuckets)
	m.firstToken, errs[1] = histogram("request.first_token", "Time from arrival to the first token.", requestBuckets)
	m.betweenTokens, errs[2] = histogram("request.between_tokens", "Time between two tokens.", requestBuckets)
	m.totalTime, errs[3] = histogram("request.total_time", "Time from arrival to the end of the answer.", requestBuckets)
	m.transferTime, errs[4] = histogram("transfer.time", "Time from the request for a version to all of its chunks verified.", transferBuckets)
	m.transferBytes, errs[5] = meter.Int64Counter("transfer.bytes", metric.WithUnit("By"), metric.WithDescription("Bytes of weights received, by source."))
	m.outcomes, errs[6] = meter.Int64Counter("request.outcomes", metric.WithDescription("Requests that ended, by outcome and reason."))
	m.invalidInputs, errs[7] = meter.Int64Counter("input.invalid", metric.WithDescription("Malformed input, by kind."))
	return errors.Join(errs[:]...)
}

// DeclareLabels gives the tenants, classes and models of a configuration label values
// of their own, up to Config.MaxLabelNames. It must be called for each configuration
// that takes effect.
func (m *Metrics) DeclareLabels(c *config.Config) {
	tenants, classes, models := []string{}, []string{}, []string{}
	for _, t := range c.Tenants {
		tenants = append(tenants, string(t.Name))
	}
	for _, cl := range c.Classes {
		classes = append(classes, string(cl.Name))
	}
	for _, md := range c.Models {
		models = append(models, md.Name)
	}
	m.tenants.add(tenants)
	m.classes.add(classes)
	m.models.add(models)
}

// ForRequest returns the request metrics of a tenant and class.
func (m *Metrics) ForRequest(tenant model.Tenant, class model.Class) *RequestMetrics {
	key := requestKey{model.Tenant(m.tenants.label(string(tenant))), model.Class(m.classes.label(string(class)))}
	if r, ok := m.requests.Load(key); ok {
		return r.(*RequestMetrics) //nolint:forcetypeassert // one type is stored
	}
	base := []attribute.KeyValue{attribute.String("tenant", string(key.tenant)), attribute.String("class", string(key.class))}
	r := &RequestMetrics{metrics: m, labels: base, options: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(base...))}}
	stored, _ := m.requests.LoadOrStore(key, r)
	return stored.(*RequestMetrics) //nolint:forcetypeassert // one type is stored
}

// RecordTransfer records the time from the request for a version until all of its
// chunks are verified.
func (m *Metrics) RecordTransfer(modelName string, d time.Duration) {
	m.transferTime.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("model", m.models.label(modelName))))
}

// AddTransferBytes counts n received bytes of weights.
func (m *Metrics) AddTransferBytes(modelName string, source Source, n int64) {
	m.transferBytes.Add(context.Background(), n, metric.WithAttributes(
		attribute.String("model", m.models.label(modelName)), attribute.String("source", source.String())))
}

// CountInvalidInput counts one malformed input of a kind.
func (m *Metrics) CountInvalidInput(kind InputKind) {
	if kind < inputKindCount {
		m.invalidInputs.Add(context.Background(), 1, m.invalidInputOptions[kind]...)
	}
}

// Meter returns a meter for additional instruments of a daemon.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter(meterName) }

// Handler returns a handler that serves the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// Close flushes the metrics and shuts the provider down.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

func (m *Metrics) reasonLabel(r outcome.Reason) string {
	if r == outcome.ReasonNone {
		return "none"
	}
	return m.reasons.label(string(r))
}
