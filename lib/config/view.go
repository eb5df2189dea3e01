package config

import "time"

// View is one revision of the configuration. It is immutable.
type View struct {
	Config *Config
	Head   Head
	// Accepted is when the store accepted the revision.
	Accepted time.Time
}
