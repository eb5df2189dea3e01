package daemon_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/daemon"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// fakeProcess is a daemon whose drain ends when the test sends to drained.
type fakeProcess struct {
	drained chan error
	failed  chan error
	closed  bool
	// abortTime is how long Drain takes to return after the end of its context.
	abortTime time.Duration
	// aborted is set once Drain has returned because of the end of its context.
	// abortedAtClose is its value at the time of Close.
	aborted, abortedAtClose atomic.Bool
}

func (p *fakeProcess) Drain(ctx context.Context) error {
	select {
	case err := <-p.drained:
		return err
	case <-ctx.Done():
		time.Sleep(p.abortTime)
		p.aborted.Store(true)
		return ctx.Err()
	}
}

func (p *fakeProcess) Close() error {
	p.closed = true
	p.abortedAtClose.Store(p.aborted.Load())
	return nil
}
func (p *fakeProcess) Failed() <-chan error { return p.failed }

var _ = Describe("Execute", func() {
	var p *fakeProcess
	var signals chan os.Signal
	var out, errs *bytes.Buffer
	var program daemon.Program[string]
	timeout := time.Minute

	BeforeEach(func() {
		p = &fakeProcess{drained: make(chan error, 1), failed: make(chan error, 1)}
		signals = make(chan os.Signal, 2)
		out, errs = &bytes.Buffer{}, &bytes.Buffer{}
		timeout = time.Minute
		program = daemon.Program[string]{
			Name: "auburnbend-x", Short: "x", Version: "v1.2.3", Example: "  auburnbend-x --config x.ini",
			Load: func(path string) (string, error) {
				if path == "bad.ini" {
					return "", errors.New("bad.ini:3: [log] level: unknown")
				}
				return path, nil
			},
			Common: func(string) daemon.CommonSettings {
				return daemon.CommonSettings{Drain: settings.Drain{Timeout: timeout}, Identity: settings.Instance{ID: "i1"}}
			},
			Start: func(_ context.Context, s string, _ *eventlog.Logger) (daemon.Process, error) {
				if s == "busy.ini" {
					return nil, errors.New("address in use")
				}
				return p, nil
			},
		}
	})

	execute := func(args ...string) int { return daemon.Execute(program, args, signals, out, errs) }

	It("drains after a signal and exits with 0", func() {
		signals <- syscall.SIGTERM
		p.drained <- nil
		Expect(execute("--config", "x.ini")).To(Equal(daemon.ExitOK))
		Expect(p.closed).To(BeTrue())
		Expect(errs.String()).To(ContainSubstring("instance=i1 event=1002"))
	})

	It("exits after a second signal", func() {
		signals <- syscall.SIGTERM
		signals <- syscall.SIGINT
		Expect(execute("--config", "x.ini")).To(Equal(daemon.ExitDrainIncomplete))
		Expect(p.closed).To(BeTrue())
	})

	It("lets an aborted drain send final responses", func() {
		// Guards against requests in progress that are cut with no answer at a second signal.
		p.abortTime = 100 * time.Millisecond
		signals <- syscall.SIGTERM
		signals <- syscall.SIGINT
		Expect(execute("--config", "x.ini")).To(Equal(daemon.ExitDrainIncomplete))
		Expect(p.abortedAtClose.Load()).To(BeTrue())
	})

	It("exits in bounded time if an aborted drain does not return", func() {
		p.abortTime = time.Minute
		signals <- syscall.SIGTERM
		signals <- syscall.SIGINT
		start := time.Now()
		Expect(execute("--config", "x.ini")).To(Equal(daemon.ExitDrainIncomplete))
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		Expect(p.closed).To(BeTrue())
	})

	It("exits at the drain timeout", func() {
		timeout = time.Millisecond
		signals <- syscall.SIGTERM
		Expect(execute("--config", "x.ini")).To(Equal(daemon.ExitDrainIncomplete))
		Expect(errs.String()).To(ContainSubstring("event=1007"))
	})

	It("exits if the process fails or does not start", func() {
		p.failed <- errors.New("listener broke")
		Expect(execute("--config", "x.ini")).To(Equal(daemon.ExitFailed))
		Expect(execute("--config", "busy.ini")).To(Equal(daemon.ExitFailed))
		Expect(errs.String()).To(ContainSubstring("address in use"))
	})

	DescribeTable("handles command lines", func(code int, output string, args ...string) {
		Expect(execute(args...)).To(Equal(code))
		Expect(out.String() + errs.String()).To(ContainSubstring(output))
	},
		Entry("check of valid settings", daemon.ExitOK, "settings are valid", "--check", "--config", "x.ini"),
		Entry("check of invalid settings", daemon.ExitUsage, "bad.ini:3: [log] level: unknown", "--check", "--config", "bad.ini"),
		Entry("invalid settings", daemon.ExitUsage, "bad.ini:3", "--config", "bad.ini"),
		Entry("no settings", daemon.ExitUsage, "required flag(s) \"config\" not set"),
		Entry("unknown flag", daemon.ExitUsage, "unknown flag", "--colour"),
		Entry("unexpected argument", daemon.ExitUsage, "unknown command", "x.ini"),
		Entry("version", daemon.ExitOK, "auburnbend-x v1.2.3", "--version"),
		Entry("help", daemon.ExitOK, "auburnbend-x --config x.ini", "--help"),
		Entry("completion", daemon.ExitOK, "bash completion", "completion", "bash"),
	)
})
