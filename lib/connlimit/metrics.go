package connlimit

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Observe exposes the connections of limiters, by listener. It must be called at most once for
// each meter.
func Observe(meter metric.Meter, limiters map[string]*Limiter) error {
	open, err1 := meter.Int64ObservableGauge("connections_open", metric.WithDescription("open connections, by listener"))
	closed, err2 := meter.Int64ObservableCounter("connections_closed", metric.WithDescription("connections without progress that were closed for new ones, by listener, since the start"))
	refused, err3 := meter.Int64ObservableCounter("connections_refused", metric.WithDescription("connections that were refused because no other one could be closed, by listener, since the start"))
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for listener, l := range limiters {
			attributes := metric.WithAttributes(attribute.String("listener", listener))
			openNow, closedCount, refusedCount := l.Stats()
			o.ObserveInt64(open, int64(openNow), attributes)
			o.ObserveInt64(closed, closedCount, attributes)
			o.ObserveInt64(refused, refusedCount, attributes)
		}
		return nil
	}, open, closed, refused)
	return err
}
