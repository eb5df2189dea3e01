package agent

import (
	"time"

	"github.com/auburnbend/auburnbend/agent/transfer"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/telemetry"
)

// Metrics takes the measurements of transfers; *telemetry.Metrics is one.
// Implementations are safe for concurrent use and do not block.
type Metrics interface {
	// DeclareLabels takes the configuration in force, whose names get labels.
	DeclareLabels(c *config.Config)
	// RecordTransfer takes the time from the request for a version to all of its
	// chunks verified.
	RecordTransfer(model string, d time.Duration)
	AddTransferBytes(model string, source telemetry.Source, n int64)
}

// noMetrics drops all measurements.
type noMetrics struct{}

func (noMetrics) DeclareLabels(*config.Config)                     {}
func (noMetrics) RecordTransfer(string, time.Duration)             {}
func (noMetrics) AddTransferBytes(string, telemetry.Source, int64) {}

// countBytes records what a fetch received, whether it succeeded or not: bytes
// of corrupt chunks were paid for too.
func countBytes(m Metrics, model string, before, after transfer.Progress) {
	for source, n := range map[telemetry.Source]int64{
		telemetry.SourceOrigin:      after.OriginBytes - before.OriginBytes,
		telemetry.SourceWeightStore: after.StoreBytes - before.StoreBytes,
		telemetry.SourcePeer:        after.PeerBytes - before.PeerBytes,
	} {
		if n > 0 {
			m.AddTransferBytes(model, source, n)
		}
	}
}
