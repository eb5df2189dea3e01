package daemon

import (
	"context"
	"runtime/debug"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// CommonSettings contains the settings that this package uses.
type CommonSettings struct {
	Log   settings.Log
	Drain settings.Drain
	// Identity supplies the instance ID that is added to each log line.
	Identity settings.Instance
}

// Program describes a daemon with settings of type S.
type Program[S any] struct {
	// Name is the name of the executable.
	Name string
	// Short and Long are the descriptions in the help text.
	Short, Long string
	// Example is the example in the help text.
	Example string
	// Version is printed by --version. If it is empty, the version from the build
	// information is used.
	Version string
	// Load reads and validates the settings file.
	Load func(path string) (S, error)
	// Check validates what the settings refer to, such as certificates. It may be
	// nil.
	Check func(S) error
	// Common returns the common part of the settings.
	Common func(S) CommonSettings
	// Start starts the daemon and returns when all listeners are open.
	Start func(ctx context.Context, s S, log *eventlog.Logger) (Process, error)
}

func (p *Program[S]) version() string {
	if p.Version != "" {
		return p.Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
