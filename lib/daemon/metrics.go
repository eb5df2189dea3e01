package daemon

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/telemetry"
)

// Metrics is a process's metrics with the text endpoint that its settings name.
type Metrics struct {
	*telemetry.Metrics
	endpoint *telemetry.Endpoint
}

// OpenMetrics returns metrics and serves them at address; an empty address serves
// them nowhere.
func OpenMetrics(address string) (*Metrics, error) {
	metrics, err := telemetry.New(telemetry.Config{})
	if err != nil {
		return nil, err
	}
	m := &Metrics{Metrics: metrics}
	if address != "" {
		m.endpoint, err = metrics.Listen(address)
	}
	return m, err
}

// Close stops the endpoint and flushes the metrics.
func (m *Metrics) Close() {
	ctx := context.Background()
	if m.endpoint != nil {
		_ = m.endpoint.Close(ctx)
	}
	_ = m.Metrics.Close(ctx)
}
