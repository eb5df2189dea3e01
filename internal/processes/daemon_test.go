package processes_test

import (
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

// settleTime bounds the wait for a state that the system reaches by itself; it
// decides no bound of the product.
const settleTime = 20 * time.Second

// daemon is one process of the system.
type daemon struct {
	instance backing.Instance
	pool     string
	// callers, operators and metrics are listen addresses; agents have only the
	// last.
	callers, operators, metrics string
	session                     *gexec.Session
}

// start runs a program; the test ends it by its id.
func start(binary string, arguments ...string) *gexec.Session {
	session, err := gexec.Start(exec.Command(binary, arguments...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait(settleTime) })
	return session
}

// events counts the log lines with the number of an event.
func (d *daemon) events(e eventlog.Event) int {
	line := regexp.MustCompile(`\bevent=` + strconv.Itoa(e.Number) + `\b`)
	return len(line.FindAll(d.session.Err.Contents(), -1))
}

// awaitStart waits until all listeners are open.
func (d *daemon) awaitStart() {
	Eventually(func() int { return d.events(eventlog.ProcessStarted) }).
		WithTimeout(settleTime).Should(Equal(1), string(d.instance.ID))
}

// awaitStop expects the end of a process that was told to stop and has finished
// its work.
func (d *daemon) awaitStop() {
	Eventually(d.session).WithTimeout(settleTime).Should(gexec.Exit(0), string(d.instance.ID))
	Expect(d.events(eventlog.ProcessStarted)).To(Equal(1), string(d.instance.ID))
	Expect(d.events(eventlog.ProcessStopping)).To(Equal(1), string(d.instance.ID))
	Expect(d.events(eventlog.ProcessStopped)).To(Equal(1), string(d.instance.ID))
}

func (d *daemon) running() bool { return d.session.ExitCode() == -1 }
