package telemetry

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/auburnbend/auburnbend/lib/memory"
)

// ObserveMemory exposes what is held in budgets, by kind. It must be called at most once.
func (m *Metrics) ObserveMemory(budgets map[string]*memory.Budget) error {
	meter := m.Meter()
	held, err1 := meter.Int64ObservableGauge("memory.held", metric.WithUnit("By"), metric.WithDescription("Memory taken by long bodies of requests and by long responses, by kind."))
	delays, err2 := meter.Int64ObservableCounter("memory.delays", metric.WithDescription("Bodies that waited for memory, by kind."))
	refusals, err3 := meter.Int64ObservableCounter("memory.refusals", metric.WithDescription("Bodies for which there was no memory, by kind."))
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for kind, b := range budgets {
			attributes := metric.WithAttributes(attribute.String("kind", kind))
			o.ObserveInt64(held, b.Held(), attributes)
			o.ObserveInt64(delays, b.Delayed(), attributes)
			o.ObserveInt64(refusals, b.Refused(), attributes)
		}
		return nil
	}, held, delays, refusals)
	return err
}
