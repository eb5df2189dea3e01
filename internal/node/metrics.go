package node

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/replica"
)

// maxSeries is the maximum number of time series of one instrument.
const maxSeries = 500

// maxScrapes bounds the pages of metrics that are made at a time, each of which takes a
// multiple of its size in memory.
const maxScrapes = 4

// latencyBuckets are histogram boundaries in seconds. They are narrow around the usual
// targets of 0.1 to 0.5 s.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8}

// metrics holds the instruments of a daemon and the server that exposes them.
type metrics struct {
	meter    metric.Meter
	provider *sdk.MeterProvider
	server   *http.Server

	requestsEnded                        metric.Int64Counter
	firstByteTime, totalTime, longestGap metric.Float64Histogram
}

// openMetrics creates the instruments and serves them at a port of the instance's address;
// port 0 disables the server.
func openMetrics(s *platform.Settings, port int) (*metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo(), otelprom.WithNamespace("auburnbend"))
	if err != nil {
		return nil, merry.Prepend(err, "metrics")
	}
	m := &metrics{provider: sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithCardinalityLimit(maxSeries))}
	m.meter = m.provider.Meter("github.com/auburnbend/auburnbend")
	if err := m.createInstruments(); err != nil {
		return nil, merry.Prepend(err, "metrics")
	}
	if port == 0 {
		return m, nil
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(s.Address, strconv.Itoa(port)))
	if err != nil {
		return nil, merry.Prepend(err, "metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	m.server = newCheckServer(mux)
	go func() { _ = m.server.Serve(connlimit.Listen(ln, newConnLimits(s).metrics)) }()
	return m, nil
}

func (m *metrics) createInstruments() (err error) {
	histogram := func(name, description string) metric.Float64Histogram {
		h, createErr := m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		if createErr != nil {
			err = createErr
		}
		return h
	}
	m.firstByteTime = histogram("request_first_answer", "time to the first byte of the answer")
	m.totalTime = histogram("request_total", "time to the end of the answer")
	m.longestGap = histogram("request_longest_gap", "longest pause between events of a stream")
	var createErr error
	if m.requestsEnded, createErr = m.meter.Int64Counter("requests_ended", metric.WithDescription("requests by outcome and reason")); createErr != nil {
		err = createErr
	}
	return err
}

func (m *metrics) observe(o gateway.Observation) {
	ctx := context.Background()
	m.requestsEnded.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", o.Service), attribute.String("team", o.Team),
		attribute.String("outcome", o.Outcome), attribute.String("reason", o.Reason)))
	if o.Outcome != gateway.OutcomeAnswered {
		return
	}
	labels := metric.WithAttributes(attribute.String("team", o.Team), attribute.String("route", o.Route))
	m.firstByteTime.Record(ctx, o.TimeToFirstByte.Seconds(), labels)
	m.totalTime.Record(ctx, o.TotalTime.Seconds(), labels)
	if o.Events > 1 {
		m.longestGap.Record(ctx, o.LongestGap.Seconds(), labels)
	}
}

// registerReplicaMetrics adds the instruments of a replica. It panics if one cannot be
// created.
func (m *metrics) registerReplicaMetrics(r *replica.Replica) {
	counter := func(name, description string, value func() int64) {
		_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
		if err != nil {
			panic(err)
		}
	}
	counter("weights_origin_bytes", "bytes of pieces from the origin", r.Stats().OriginBytes.Load)
	counter("weights_peer_bytes", "bytes of pieces from peers", r.Stats().PeerBytes.Load)
	counter("weights_spoilt_pieces", "pieces that did not match the manifest", r.Stats().CorruptPieces.Load)
	counter("weights_taken_again", "loads of which the engine had to take layers again", r.Stats().Reloads.Load)
}

// Close stops the server of the metrics.
func (m *metrics) Close() {
	if m.server != nil {
		_ = m.server.Close()
	}
}
