package processes_test

import (
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// settleTime is the timeout of waits for a state that the system reaches by itself.
// It is not a bound on the behaviour of the system.
const settleTime = 20 * time.Second

// daemon is a running entry or agent process.
type daemon struct {
	instance backing.Instance
	pool     string // empty for entries
	// callers, operators and metrics are listen addresses. Agents have only
	// metrics.
	callers, operators, metrics string
	session                     *gexec.Session
}

// start starts a program and kills it at the end of the test if it is still running.
func start(binary string, arguments ...string) *gexec.Session {
	session, err := gexec.Start(exec.Command(binary, arguments...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait(settleTime) })
	return session
}

// startLimited is start for a process with descriptorLimit.
func startLimited(binary string, arguments ...string) *gexec.Session {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptorLimit)
	return start("/bin/sh", append([]string{"-c", script, binary}, arguments...)...)
}

// events returns the number of log lines of an event.
func (d *daemon) events(e eventlog.Event) int {
	line := regexp.MustCompile(`\bevent=` + strconv.Itoa(e.Number) + `\b`)
	return len(line.FindAll(d.session.Err.Contents(), -1))
}

// awaitStart waits until the process logs that it has started; all its listeners are
// open then.
func (d *daemon) awaitStart() {
	Eventually(func() int { return d.events(eventlog.ProcessStarted) }).
		WithTimeout(settleTime).Should(Equal(1), string(d.instance.ID))
}

// awaitStop waits for the end of a process that received SIGTERM and expects a
// graceful exit that is logged once.
func (d *daemon) awaitStop() {
	Eventually(d.session).WithTimeout(settleTime).Should(gexec.Exit(0), string(d.instance.ID))
	Expect(d.events(eventlog.ProcessStarted)).To(Equal(1), string(d.instance.ID))
	Expect(d.events(eventlog.ProcessStopping)).To(Equal(1), string(d.instance.ID))
	Expect(d.events(eventlog.ProcessStopped)).To(Equal(1), string(d.instance.ID))
}

func (d *daemon) running() bool { return d.session.ExitCode() == -1 }
