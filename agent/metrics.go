package agent

import (
	"time"

	"github.com/auburnbend/auburnbend/agent/transfer"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/telemetry"
)

// Metrics records measurements of transfers. *telemetry.Metrics implements it.
// Implementations must be safe for concurrent use and must not block.
type Metrics interface {
	// DeclareLabels sets the configuration whose names are used as label values.
	DeclareLabels(c *config.Config)
	// RecordTransfer records the time from the start of the fetch of a version until
	// all its chunks are verified.
	RecordTransfer(model string, d time.Duration)
	// AddTransferBytes adds n bytes received from source.
	AddTransferBytes(model string, source telemetry.Source, n int64)
}

// noMetrics discards all measurements.
type noMetrics struct{}

func (noMetrics) DeclareLabels(*config.Config)                     {}
func (noMetrics) RecordTransfer(string, time.Duration)             {}
func (noMetrics) AddTransferBytes(string, telemetry.Source, int64) {}

// recordBytes records the bytes that a fetch received. It is called for failed fetches
// too, because bytes of corrupt chunks also used the links.
func recordBytes(m Metrics, model string, before, after transfer.Progress) {
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
