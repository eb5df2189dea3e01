package daemon

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/telemetry"
)

// Metrics contains the metrics of a process and its optional metrics endpoint.
type Metrics struct {
	*telemetry.Metrics
	endpoint *telemetry.Endpoint
}

// OpenMetrics creates the metrics and serves them at address, an IP address and port.
// If address is empty, it starts no endpoint.
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

// Close shuts the endpoint down and flushes the metrics.
func (m *Metrics) Close() {
	ctx := context.Background()
	if m.endpoint != nil {
		_ = m.endpoint.Close(ctx)
	}
	_ = m.Metrics.Close(ctx)
}
