package entry

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/telemetry"
)

// telemetryMetrics is the implementation of Metrics with OpenTelemetry.
type telemetryMetrics struct{ metrics *telemetry.Metrics }

// NewTelemetryMetrics returns Metrics that record measurements with OpenTelemetry.
func NewTelemetryMetrics(m *telemetry.Metrics) Metrics { return telemetryMetrics{m} }

func (t telemetryMetrics) ObserveQueueTime(tenant model.Tenant, class model.Class, d time.Duration) {
	t.metrics.ForRequest(tenant, class).RecordQueueTime(d)
}

func (t telemetryMetrics) ObserveFirstToken(tenant model.Tenant, class model.Class, d time.Duration) {
	t.metrics.ForRequest(tenant, class).RecordFirstToken(d)
}

func (t telemetryMetrics) ObserveBetweenTokens(tenant model.Tenant, class model.Class, d time.Duration) {
	t.metrics.ForRequest(tenant, class).RecordBetweenTokens(d)
}

func (t telemetryMetrics) ObserveTotal(tenant model.Tenant, class model.Class, d time.Duration, o outcome.Outcome, reason outcome.Reason) {
	r := t.metrics.ForRequest(tenant, class)
	r.RecordTotalTime(d)
	r.CountOutcome(o, reason)
}

func (t telemetryMetrics) CountInvalid(reason outcome.Reason) {
	kind := telemetry.InputHeader
	if reason == outcome.ReasonTooLarge {
		kind = telemetry.InputBody
	}
	t.metrics.CountInvalidInput(kind)
}
