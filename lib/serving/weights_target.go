package serving

import "time"

// FirstVersion is the version of a model before one is declared.
const FirstVersion = 1

// WeightsTarget is the model that the engines of a service must load, and the origin of
// its weights.
type WeightsTarget struct {
	Service, Model string
	Origin         *Origin
	// OriginPieceTime is the time to transfer one piece over the origin's link, or zero
	// if its bandwidth is unknown.
	OriginPieceTime time.Duration
	// Layers is the number of layers of the model.
	Layers int
}

// WeightsTargets returns a target for each service with engines: its first model. It
// returns none if the configuration has no origin.
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
			Service: s.Name, Model: s.Engine.Models[0], Origin: origin, OriginPieceTime: origin.transferTime(s.Engine.PieceBytes), Layers: s.Engine.Layers,
		})
	}
	return targets
}
