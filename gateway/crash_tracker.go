package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/poison"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// crashTracker attributes crashes of backend servers to fingerprints of one kind.
type crashTracker struct {
	monitor    *poison.Monitor
	attributor *poison.Attributor
}

// merge merges an update and returns the part that was new; nil if there is none.
func (t *crashTracker) merge(now time.Time, update *wire.SuspectUpdate) *wire.SuspectUpdate {
	fresh := t.monitor.Merge(now, *update)
	if fresh == nil {
		return nil
	}
	for _, s := range fresh.Suspects {
		for _, in := range s.Incidents {
			if !in.Cleared {
				t.attributor.RecordEnd(now, in.Instance, now.Add(-milliseconds(in.AgeMillis)))
			}
		}
	}
	return fresh
}
