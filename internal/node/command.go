// Package node builds the two daemons for the users' platform, gateway and
// replica, from the general packages and the adapter in package platform.
package node

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
)

// Program describes a daemon.
type Program struct {
	Name, Short, Long, Example string
	// Flags adds the flags of the program; nil adds none.
	Flags func(flags *pflag.FlagSet, env *Environment)
	// Run serves until ctx ends, and returns when the work in progress is finished.
	Run func(ctx context.Context, env Environment) error
}

// Environment is what a daemon gets from the process that it runs in.
type Environment struct {
	Settings *platform.Settings
	// MetricsPort is the port that serves metrics; zero disables them.
	MetricsPort int
	// WaitForPlacement makes an entry keep requests that no server can take now until they are
	// placed or have waited for a part of their time.
	WaitForPlacement bool
	Log              *eventlog.Logger
	// WatchSettings calls apply after each change of the settings until ctx ends.
	// Changed addresses take effect only at the next start. nil disables it.
	WatchSettings func(ctx context.Context, apply func(*platform.Settings))
	// isCutOff reports peers to which an entry sends no datagrams. nil is no peer.
	isCutOff func(peer netip.AddrPort) bool
}

// watchSettings calls apply, on another goroutine, after each change of the
// settings until ctx ends.
func (env *Environment) watchSettings(ctx context.Context, apply func(*platform.Settings)) {
	if env.WatchSettings != nil {
		go env.WatchSettings(ctx, apply)
	}
}

// Main runs a program with the arguments of the process until SIGTERM or SIGINT. It
// exits with code 1 on an error.
func Main(p Program) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd := NewCommand(p, os.Stdout)
	if err := cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		os.Exit(1)
	}
}

// NewCommand returns the command of a program. It writes log lines to logs.
func NewCommand(p Program, logs io.Writer) *cobra.Command {
	var path string
	var check bool
	var env Environment
	cmd := &cobra.Command{
		Use: p.Name, Short: p.Short, Long: p.Long, Example: p.Example,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true, Version: version(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsPathEnv)
			}
			if path == "" {
				return fmt.Errorf("no settings file: use --settings or set %s", platform.SettingsPathEnv)
			}
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", path)
				return err
			}
			env.Settings = settings
			return run(cmd.Context(), p, path, env, logs)
		},
	}
	cmd.Flags().StringVarP(&path, "settings", "s", "", "path of the settings file; defaults to the path in "+platform.SettingsPathEnv)
	cmd.Flags().BoolVar(&check, "check", false, "validate the settings file and exit")
	cmd.Flags().IntVar(&env.MetricsPort, "metrics-port", 0, "port that serves metrics at /metrics; 0 disables them")
	if p.Flags != nil {
		p.Flags(cmd.Flags(), &env)
	}
	return cmd
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

func run(ctx context.Context, p Program, path string, env Environment, logs io.Writer) error {
	settings := env.Settings
	setMemoryLimits(settings.MemoryLimit)
	writer := eventlog.NewAsyncWriter(logs)
	defer writer.Close()
	log := eventlog.OpenPlain(writer, clock.System{}).With("instance", settings.Instance)
	log.Log(eventlog.ProcessStarted, "program", p.Name, "version", version(), "domain", settings.Domain)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	file := newSettingsFile(path, settings, log)
	env.Log = log
	env.WatchSettings = func(ctx context.Context, apply func(*platform.Settings)) {
		file.watch(ctx, hangups, func(s *platform.Settings) {
			setMemoryLimits(s.MemoryLimit)
			apply(s)
		})
	}
	err := p.Run(ctx, env)
	log.Log(eventlog.ProcessStopped, "program", p.Name, "err", err)
	return err
}

const (
	// heapLimitFraction is the part of the instance's memory that is set as soft
	// memory limit of the Go runtime. The rest is left for stacks and buffers.
	heapLimitFraction = 0.7
	// gcPercent is the heap growth in percent that triggers a garbage collection. It
	// is below Go's default of 100 because memory costs more than processor time.
	gcPercent = 60
)

// setMemoryLimits configures the garbage collector for an instance with limit bytes
// of memory; zero sets no limit.
func setMemoryLimits(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(limit)))
	}
}
