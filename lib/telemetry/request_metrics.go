package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// RequestMetrics records for one tenant and class. Its label set is built once,
// so that a recording allocates nothing beyond what the SDK needs.
type RequestMetrics struct {
	m       *Metrics
	base    []attribute.KeyValue
	options []metric.RecordOption
}

// RecordQueueTime records the time that a request waited before it was dispatched.
func (r *RequestMetrics) RecordQueueTime(d time.Duration) { r.record(r.m.queue, d) }

// RecordFirstToken records the time from arrival to the first token.
func (r *RequestMetrics) RecordFirstToken(d time.Duration) { r.record(r.m.firstToken, d) }

// RecordBetweenTokens records the time between two tokens.
func (r *RequestMetrics) RecordBetweenTokens(d time.Duration) { r.record(r.m.betweenTokens, d) }

// RecordTotalTime records the time from arrival to the end of the answer.
func (r *RequestMetrics) RecordTotalTime(d time.Duration) { r.record(r.m.total, d) }

func (r *RequestMetrics) record(h metric.Float64Histogram, d time.Duration) {
	h.Record(context.Background(), d.Seconds(), r.options...)
}

// CountOutcome counts one request that ended.
func (r *RequestMetrics) CountOutcome(o outcome.Outcome, reason outcome.Reason) {
	key := outcomeKey{request: r, outcome: o, reason: r.m.reason(reason)}
	if options, ok := r.m.outcomes.Load(key); ok {
		r.m.ended.Add(context.Background(), 1, options.([]metric.AddOption)...) //nolint:forcetypeassert // one type is stored
		return
	}
	labels := append(append([]attribute.KeyValue(nil), r.base...),
		attribute.String("outcome", o.String()), attribute.String("reason", key.reason))
	options := []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
	r.m.outcomes.Store(key, options)
	r.m.ended.Add(context.Background(), 1, options...)
}

type outcomeKey struct {
	request *RequestMetrics
	outcome outcome.Outcome
	reason  string
}
