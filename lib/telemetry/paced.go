package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// ObservePaced exposes the number of backend servers whose concurrency is limited because
// they have just started or recovered. It must be called at most once.
func (m *Metrics) ObservePaced(count func() int) error {
	paced, err := m.Meter().Int64ObservableGauge("backend_servers.paced", metric.WithDescription("Backend servers whose concurrency is limited because they have just started or recovered."))
	if err != nil {
		return err
	}
	_, err = m.Meter().RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(paced, int64(count()))
		return nil
	}, paced)
	return err
}
