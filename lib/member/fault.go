package member

import (
	"time"
)

// faultDetector tells a fault of the network path from faults of instances:
// many connections go silent at once, and new ones work.
type faultDetector struct {
	silentAt []time.Time // connections that went silent within the window
	total    int         // connections when the last one was judged
	reported bool
}

// silent records a connection that went silent.
func (d *faultDetector) silent(now time.Time) { d.silentAt = append(d.silentAt, now) }

// connected records a new connection. It reports the fault once when many
// connections are silent.
func (d *faultDetector) connected(now time.Time, cfg Config) []Event {
	if !d.many(now, cfg, d.total) || d.reported {
		return nil
	}
	d.reported = true
	return []Event{{Kind: PathFault}}
}

// suspected reports whether many connections went silent at once.
func (d *faultDetector) suspected(now time.Time, cfg Config, conns int) bool {
	d.total = conns
	many := d.many(now, cfg, conns)
	if !many {
		d.reported = false
	}
	return many
}

func (d *faultDetector) many(now time.Time, cfg Config, conns int) bool {
	kept := d.silentAt[:0]
	for _, at := range d.silentAt {
		if now.Sub(at) <= cfg.PathFaultWindow {
			kept = append(kept, at)
		}
	}
	d.silentAt = kept
	return len(kept) >= cfg.PathFaultMinConns && float64(len(kept)) >= cfg.PathFaultShare*float64(conns)
}
