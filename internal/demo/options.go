package demo

import "time"

// Options are the flags of the demo.
type Options struct {
	Agents     int
	Entries    int
	ModelMiB   int
	ChunkKiB   int
	Callers    int
	KillShare  float64
	Seed       int64
	Window     time.Duration
	MaxTime    time.Duration
	ShowEvents bool
}
