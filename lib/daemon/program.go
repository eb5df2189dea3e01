package daemon

import (
	"context"
	"runtime/debug"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// CommonSettings is the part of the settings that this package needs.
type CommonSettings struct {
	Log   settings.Log
	Drain settings.Drain
	// Identity is added to each log line.
	Identity settings.Instance
}

// Program describes a daemon with settings of type S.
type Program[S any] struct {
	// Name is the name of the executable.
	Name string
	// Short and Long describe the daemon in its help.
	Short, Long string
	// Example is shown in the help.
	Example string
	// Version is printed by --version; empty takes the build information.
	Version string
	// Load reads and checks the settings file.
	Load func(path string) (S, error)
	// Check verifies what goes beyond the file itself, such as certificates. It
	// may be nil.
	Check func(S) error
	// Common picks the common settings.
	Common func(S) CommonSettings
	// Start starts the daemon. It returns once all listeners are open.
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
