// Package node assembles the two daemons that run on the platform from the
// product's packages and the platform's adapter.
package node

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
)

// Program describes a daemon that runs on the platform.
type Program struct {
	Name, Short, Long, Example string
	// Run serves until stop is closed and its work has ended.
	Run func(ctx context.Context, p Environment) error
}

// Environment is what a daemon has from its surroundings.
type Environment struct {
	Settings *platform.Settings
	// MetricsPort is where metrics are served; zero serves none.
	MetricsPort int
	Log         *eventlog.Logger
	// WatchSettings calls apply with the settings whenever they have changed,
	// until ctx ends. Addresses take effect at the next start only.
	WatchSettings func(ctx context.Context, apply func(*platform.Settings))
}

// followSettings follows the settings in a goroutine of its own until ctx ends.
func (p *Environment) followSettings(ctx context.Context, apply func(*platform.Settings)) {
	if p.WatchSettings != nil {
		go p.WatchSettings(ctx, apply)
	}
}

// Main runs the program with the process's arguments and signals and exits.
func Main(p Program) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd := NewCommand(p, os.Stdout)
	if err := cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		os.Exit(1)
	}
}

// NewCommand returns the program's command line. Log lines go to logs.
func NewCommand(p Program, logs io.Writer) *cobra.Command {
	var path string
	var check bool
	var metricsPort int
	cmd := &cobra.Command{
		Use: p.Name, Short: p.Short, Long: p.Long, Example: p.Example,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true, Version: version(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsPathEnv)
			}
			if path == "" {
				return fmt.Errorf("no settings file: give --settings or set %s", platform.SettingsPathEnv)
			}
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", path)
				return err
			}
			return run(cmd.Context(), p, path, settings, metricsPort, logs)
		},
	}
	cmd.Flags().StringVarP(&path, "settings", "s", "", "settings file; the default is the path in "+platform.SettingsPathEnv)
	cmd.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "port that serves metrics under /metrics; 0 serves none")
	return cmd
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

func run(ctx context.Context, p Program, path string, settings *platform.Settings, metricsPort int, logs io.Writer) error {
	limitMemory(settings.MemoryLimit)
	async := eventlog.NewAsyncWriter(logs)
	defer async.Close()
	log := eventlog.OpenPlain(async, clock.System{}).With("instance", settings.Instance)
	log.Log(eventlog.ProcessStarted, "program", p.Name, "version", version(), "domain", settings.Domain)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	file := newSettingsFile(path, settings, log)
	err := p.Run(ctx, Environment{
		Settings: settings, MetricsPort: metricsPort, Log: log,
		WatchSettings: func(ctx context.Context, apply func(*platform.Settings)) {
			file.follow(ctx, reload, func(s *platform.Settings) {
				limitMemory(s.MemoryLimit)
				apply(s)
			})
		},
	})
	log.Log(eventlog.ProcessStopped, "program", p.Name, "err", err)
	return err
}

const (
	// memoryShare is the part of an instance's memory that the heap may take
	// before the collector works harder; the rest is for stacks and buffers.
	memoryShare = 0.7
	// collectAt is the growth of the heap in percent at which it is collected.
	// Memory is priced higher than processor time.
	collectAt = 60
)

func limitMemory(limit int64) {
	debug.SetGCPercent(collectAt)
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
	}
}
