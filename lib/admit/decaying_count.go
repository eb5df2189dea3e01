package admit

import (
	"math"
	"time"
)

// decayingCount counts events with exponential decay over gateWindow.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.count = c.at(now) + 1
	c.updatedAt = now
}

// subtract takes back an event, without counting as an update. The count does not fall below
// zero.
func (c *decayingCount) subtract(now time.Time) {
	c.count = max(0, c.count-math.Exp(now.Sub(c.updatedAt).Seconds()/gateWindow.Seconds()))
}

func (c *decayingCount) at(now time.Time) float64 {
	if c.count == 0 {
		return 0
	}
	return float64(c.count * math.Exp(-now.Sub(c.updatedAt).Seconds()/gateWindow.Seconds()))
}

// perSecond returns the rate of events.
func (c *decayingCount) perSecond(now time.Time) float64 { return c.at(now) / gateWindow.Seconds() }
