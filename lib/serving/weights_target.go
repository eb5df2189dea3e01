package serving

import "time"

// FirstVersion is the version that a model has before one is declared.
const FirstVersion = 1

// WeightsTarget is the model that the engines of a service must hold, and where
// its weights come from.
type WeightsTarget struct {
	Service, Model string
	Origin         *Origin
	// OriginPieceTime is the time that the origin's link takes for one piece, zero if it
	// is not known.
	OriginPieceTime time.Duration
}

// WeightsTargets returns the first model of each service with engines; none
// without an origin.
func (c *Config) WeightsTargets() []WeightsTarget {
	var origin *Origin
	for i := range c.Services {
		if c.Services[i].Origin != nil {
			origin = c.Services[i].Origin
		}
	}
	if origin == nil {
		return nil
	}
	var targets []WeightsTarget
	for i := range c.Services {
		s := &c.Services[i]
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		targets = append(targets, WeightsTarget{
			Service: s.Name, Model: s.Engine.Models[0], Origin: origin, OriginPieceTime: origin.transferTime(s.Engine.PieceBytes),
		})
	}
	return targets
}
