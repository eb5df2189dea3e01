package config

import "time"

// View is the configuration in force at one moment. It is immutable.
type View struct {
	Config *Config
	Head   Head
	// Accepted is when the revision was accepted by the store.
	Accepted time.Time
}
