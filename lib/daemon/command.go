package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// Main runs the program with the process's arguments, signals and standard streams,
// and exits the process with its exit code.
func Main[S any](p Program[S]) {
	// The HTTP library logs to standard error in its own format. The relevant errors
	// are logged as numbered events instead.
	hlog.SetLevel(hlog.LevelFatal)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	os.Exit(Execute(p, os.Args[1:], signals, os.Stdout, os.Stderr))
}

// Execute runs the program until it ends and returns its exit code. Log lines and
// error messages are written to stderr.
func Execute[S any](p Program[S], args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	code := ExitOK
	cmd := command(p, signals, stderr, &code)
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	return code
}

// command returns the root command. Running the daemon sets code to its exit code;
// the command itself returns only errors of the command line and the settings.
func command[S any](p Program[S], signals <-chan os.Signal, stderr io.Writer, code *int) *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use: p.Name, Short: p.Short, Long: p.Long, Example: p.Example, Version: p.version(),
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := p.load(path)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", path)
				return nil
			}
			common := p.Common(s)
			log := eventlog.Open(common.Log, stderr, clock.System{}).With("instance", common.Identity.ID)
			*code = run(p, s, common, log, signals)
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "settings file")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	cmd.SetVersionTemplate("{{.Name}} {{.Version}}\n")
	_ = cmd.MarkFlagRequired("config")
	_ = cmd.MarkFlagFilename("config", "ini")
	return cmd
}

// load reads and validates the settings.
func (p *Program[S]) load(path string) (S, error) {
	s, err := p.Load(path)
	if err != nil || p.Check == nil {
		return s, err
	}
	return s, p.Check(s)
}

// run starts the process, waits for a signal or a failure, drains and closes it.
func run[S any](p Program[S], s S, common CommonSettings, log *eventlog.Logger, signals <-chan os.Signal) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	process, err := p.Start(ctx, s, log)
	if err != nil {
		log.Log(eventlog.StartFailed, "error", err)
		return ExitFailed
	}
	log.Log(eventlog.ProcessStarted, "version", p.version())
	code := waitAndDrain(process, common, log, signals)
	if err := process.Close(); err != nil && code == ExitOK {
		log.Log(eventlog.ProcessStopped, "error", err)
		return ExitFailed
	}
	log.Log(eventlog.ProcessStopped, "code", code)
	return code
}

// abortTimeout is how long a drain that is aborted may take to return. Requests in
// progress get their final responses meanwhile.
const abortTimeout = 500 * time.Millisecond

// waitAndDrain waits for a failure or a signal. After a signal it drains the process
// until that is done, the drain timeout expires or a second signal arrives.
func waitAndDrain(process Process, common CommonSettings, log *eventlog.Logger, signals <-chan os.Signal) int {
	select {
	case err := <-process.Failed():
		log.Log(eventlog.ProcessFailed, "error", err)
		return ExitFailed
	case s := <-signals:
		log.Log(eventlog.ProcessStopping, "signal", s, "timeout", common.Drain.Timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), common.Drain.Timeout)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- process.Drain(ctx) }()
	select {
	case err := <-drained:
		if err != nil {
			log.Log(eventlog.DrainUnfinished, "error", err)
			return ExitDrainIncomplete
		}
		return ExitOK
	case s := <-signals:
		log.Log(eventlog.DrainUnfinished, "signal", s)
		cancel()
	case <-ctx.Done():
		log.Log(eventlog.DrainUnfinished, "error", ctx.Err())
	}
	select {
	case <-drained:
	case <-time.After(abortTimeout):
	}
	return ExitDrainIncomplete
}
