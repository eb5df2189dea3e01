package agent

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/telemetry"
)

// Metrics takes the measurements of an agent. It is safe for concurrent use.
type Metrics interface {
	// Declare gives labels to the names of a configuration.
	Declare(c *config.Config)
	// Transferred records the time to a version whose chunks are all verified.
	Transferred(modelName string, d time.Duration)
	// TransferBytes counts received bytes of weights.
	TransferBytes(modelName string, source telemetry.Source, n int64)
}

// noMetrics drops all measurements.
type noMetrics struct{}

func (noMetrics) Declare(*config.Config) {}

func (noMetrics) Transferred(string, time.Duration) {}

func (noMetrics) TransferBytes(string, telemetry.Source, int64) {}
