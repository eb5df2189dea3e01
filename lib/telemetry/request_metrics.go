package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// RequestMetrics records requests of one tenant and class. The label set is built
// once, so that recording allocates nothing beyond what the SDK needs.
type RequestMetrics struct {
	metrics *Metrics
	labels  []attribute.KeyValue
	options []metric.RecordOption
}

// RecordQueueTime records the time that a request waited before it was dispatched.
func (r *RequestMetrics) RecordQueueTime(d time.Duration) { r.record(r.metrics.queueTime, d) }

// RecordFirstToken records the time from arrival to the first token.
func (r *RequestMetrics) RecordFirstToken(d time.Duration) { r.record(r.metrics.firstToken, d) }

// RecordBetweenTokens records the time between two tokens.
func (r *RequestMetrics) RecordBetweenTokens(d time.Duration) { r.record(r.metrics.betweenTokens, d) }

// RecordTotalTime records the time from arrival to the end of the response.
func (r *RequestMetrics) RecordTotalTime(d time.Duration) { r.record(r.metrics.totalTime, d) }

func (r *RequestMetrics) record(h metric.Float64Histogram, d time.Duration) {
	h.Record(context.Background(), d.Seconds(), r.options...)
}

// CountOutcome counts one request that ended.
func (r *RequestMetrics) CountOutcome(o outcome.Outcome, reason outcome.Reason) {
	key := outcomeKey{request: r, outcome: o, reason: r.metrics.reasonLabel(reason)}
	if options, ok := r.metrics.outcomeOptions.Load(key); ok {
		r.metrics.outcomes.Add(context.Background(), 1, options.([]metric.AddOption)...) //nolint:forcetypeassert // one type is stored
		return
	}
	labels := append(append([]attribute.KeyValue(nil), r.labels...),
		attribute.String("outcome", o.String()), attribute.String("reason", key.reason))
	options := []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
	r.metrics.outcomeOptions.Store(key, options)
	r.metrics.outcomes.Add(context.Background(), 1, options...)
}

type outcomeKey struct {
	request *RequestMetrics
	outcome outcome.Outcome
	reason  string
}
