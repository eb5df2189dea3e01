package member

import (
	"time"
)

// pathFaultDetector distinguishes faults of the network path from failures of
// instances: in a path fault many connections go silent at the same time and new
// ones work.
type pathFaultDetector struct {
	silentAt   []time.Time // when connections went silent, within the window
	totalConns int         // number of connections at the last tick
	reported   bool
}

// addSilent records that a connection went silent.
func (d *pathFaultDetector) addSilent(now time.Time) { d.silentAt = append(d.silentAt, now) }

// addConnected records that a new connection works. It returns a PathFault event,
// once per fault, if many connections have gone silent.
func (d *pathFaultDetector) addConnected(now time.Time, cfg Config) []Event {
	if !d.manySilent(now, cfg, d.totalConns) || d.reported {
		return nil
	}
	d.reported = true
	return []Event{{Kind: PathFault}}
}

// suspected records the number of connections and reports whether many of them
// have gone silent at the same time. Once that is over, the next path fault is
// reported again.
func (d *pathFaultDetector) suspected(now time.Time, cfg Config, conns int) bool {
	d.totalConns = conns
	many := d.manySilent(now, cfg, conns)
	if !many {
		d.reported = false
	}
	return many
}

// manySilent reports whether the connections that went silent within the window
// reach the limits for a path fault.
func (d *pathFaultDetector) manySilent(now time.Time, cfg Config, conns int) bool {
	kept := d.silentAt[:0]
	for _, at := range d.silentAt {
		if now.Sub(at) <= cfg.PathFaultWindow {
			kept = append(kept, at)
		}
	}
	d.silentAt = kept
	return len(kept) >= cfg.PathFaultMinConns && float64(len(kept)) >= cfg.PathFaultShare*float64(conns)
}
