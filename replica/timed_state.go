package replica

import "time"

// timedState is an engine's state with the time at which it was read.
type timedState struct {
	EngineState
	readAt time.Time
}
