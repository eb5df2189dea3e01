package processes_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// descriptors returns the number of open descriptors of the process.
func (d *daemon) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	return len(open)
}

// resetPeakMemory makes peakMemory begin anew.
func (d *daemon) resetPeakMemory() {
	Expect(os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", d.session.Command.Process.Pid), []byte("5"), 0o600)).To(Succeed())
}

// request sends one ordinary request on a new connection and returns the status.
func (t target) request() (int, error) {
	conn, err := net.DialTimeout("tcp", t.address, httpTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(httpTimeout)); err != nil {
		return 0, err
	}
	body := ""
	if t.method == "POST" {
		body = "x"
	}
	if _, err := io.WriteString(conn, t.head(fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body))); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (d *daemon) awaitAnswer(t target) {
	EventuallyWithOffset(1, t.request).WithTimeout(settleTime).Should(Equal(http.StatusOK))
}

// withstand lets a crowd attack a target of the process, and expects that the process keeps to
// its limits and answers an ordinary request meanwhile.
func (d *daemon) withstand(t target, a attack, ordinary target, memory int64, descriptors int) {
	c := &crowd{}
	defer c.close()
	c.send(t, a)
	open := 0
	// The process may be behind in accepting the connections.
	for range 6 {
		Expect(d.running()).To(BeTrue(), "the process has ended")
		open = max(open, d.descriptors())
		time.Sleep(50 * time.Millisecond)
	}
	d.awaitAnswer(ordinary)
	Expect(d.running()).To(BeTrue(), "the process has ended")
	peak := d.peakMemory()
	AddReportEntry("descriptors and peak memory in kB", []int64{int64(open), peak >> 10})
	Expect([]int64{int64(open), peak}).To(HaveExactElements(BeNumerically("<=", descriptors), BeNumerically("<=", memory)),
		"descriptors and peak memory in bytes")
}

// The crowds are one at a time: each takes much of the machine.
var _ = Describe("A crowd of misbehaving clients", Serial, func() {
	// Guards against a process that exceeds its memory or descriptors, hangs, or shuts out all
	// others because of clients whose requests are each within the limits of size.
	gateway := func(choose func(*platformProcess) target, a attack) {
		p := startGateway()
		ordinary := p.routed("/order/x")
		t := choose(p)
		if t.address != ordinary.address {
			ordinary = t
		}
		p.withstand(t, a, ordinary, platformMemoryMB<<20, platformDescriptors)
	}
	routed := func(p *platformProcess) target { return p.routed("/order/x") }
	unrouted := func(p *platformProcess) target { return p.routed("/none/x") }
	long := func(p *platformProcess) target { return p.routed("/long/x") }
	ready := (*platformProcess).ready
	metrics := (*platformProcess).metricsPage
	DescribeTable("leaves a gateway within its limits", gateway,
		Entry("bodies that stop short, with a route", routed, parkBody),
		Entry("bodies that stop short, without a route", unrouted, parkBody),
		Entry("bodies that stop short, readiness", ready, parkBody),
		Entry("short bodies that stop short, with a route", routed, parkShortBody),
		Entry("bodies far over the limit, with a route", routed, sendHugeBody),
		Entry("bodies far over the limit, without a route", unrouted, sendHugeBody),
		Entry("bodies far over the limit, readiness", ready, sendHugeBody),
		Entry("many fields, with a route", routed, sendManyFields),
		Entry("many fields, without a route", unrouted, sendManyFields),
		Entry("many fields, readiness", ready, sendManyFields),
		Entry("many fields, metrics", metrics, sendManyFields),
		Entry("pipelined requests, with a route", routed, pipeline),
		Entry("pipelined requests, without a route", unrouted, pipeline),
		Entry("pipelined requests, readiness", ready, pipeline),
		Entry("pipelined requests, metrics", metrics, pipeline),
		Entry("slow heads, callers", routed, stallHead),
		Entry("slow heads, readiness", ready, stallHead),
		Entry("slow heads, metrics", metrics, stallHead),
		Entry("answers that are not read, with a route", long, ignoreAnswers),
		Entry("answers that are not read, metrics", metrics, ignoreAnswers),
	)

	It("leaves a gateway within its limits at the listener for entries and agents", func() {
		p := startGateway()
		t := target{address: p.address(firstPeerPort)}
		for _, a := range []attack{parkQuery, readTables} {
			p.withstand(t, a, p.routed("/order/x"), platformMemoryMB<<20, platformDescriptors)
		}
	})

	It("leaves a replica within its limits", func() {
		p := startReplica()
		for _, a := range []attack{parkQuery, stallHead} {
			p.withstand(target{address: p.address(firstPeerPort)}, a, p.metricsPage(), platformMemoryMB<<20, platformDescriptors)
		}
	})
})

var _ = Describe("A crowd of misbehaving clients of the product's own daemons", Serial, Ordered, ContinueOnFailure, func() {
	// Guards against the same as above.
	var f *fleet
	entry := func() *daemon { return f.entries[0] }
	agent := func() *daemon { return f.agents[0] }
	callers := func(d *daemon) target {
		return target{d.callers, "POST", "/v1/services/orders", "X-Tenant: engravers\r\n"}
	}
	unrouted := func(d *daemon) target { return target{d.callers, "POST", "/none", ""} }
	ready := func(d *daemon) target { return target{d.callers, "GET", "/ready", ""} }
	metrics := func(d *daemon) target { return target{d.metrics, "GET", "/metrics", ""} }
	operators := func(d *daemon) target { return target{address: d.operators} }
	peers := func(d *daemon) target { return target{address: d.instance.Address} }
	BeforeAll(func() {
		f = newFleet(nil, 1, "kigali")
		f.publish("v1", 1)
		f.apply(f.declaration("v1", 1), 0)
		entry().awaitAnswer(callers(entry()))
	})
	DescribeTable("leaves a daemon within its limits",
		func(choose func() *daemon, t func(*daemon) target, a attack) {
			d := choose()
			d.resetPeakMemory()
			ordinary := metrics(d)
			if d.callers != "" && t(d).address != d.metrics {
				ordinary = callers(d)
			}
			d.withstand(t(d), a, ordinary, int64(memoryLimit), descriptorLimit)
			// The next crowd meets a process without connections.
			Eventually(d.descriptors).WithTimeout(settleTime).Should(BeNumerically("<", 100))
		},
		Entry("bodies that stop short, callers", entry, callers, parkBody),
		Entry("bodies that stop short, without a route", entry, unrouted, parkBody),
		Entry("bodies that stop short, readiness", entry, ready, parkBody),
		Entry("short bodies that stop short, callers", entry, callers, parkShortBody),
		Entry("bodies far over the limit, callers", entry, callers, sendHugeBody),
		Entry("bodies far over the limit, without a route", entry, unrouted, sendHugeBody),
		Entry("many fields, callers", entry, callers, sendManyFields),
		Entry("many fields, readiness", entry, ready, sendManyFields),
		Entry("many fields, metrics", entry, metrics, sendManyFields),
		Entry("pipelined requests, callers", entry, callers, pipeline),
		Entry("pipelined requests, readiness", entry, ready, pipeline),
		Entry("pipelined requests, metrics", entry, metrics, pipeline),
		Entry("slow heads, callers", entry, callers, stallHead),
		Entry("slow heads, metrics", entry, metrics, stallHead),
		Entry("slow heads, operators", entry, operators, stallHead),
		Entry("calls that stop short, operators", entry, operators, parkCall),
		Entry("frames that stop short, peers", entry, peers, parkFrame),
		Entry("slow heads, peers", entry, peers, stallHead),
		Entry("frames that stop short, agent", agent, peers, parkFrame),
		Entry("slow heads, agent", agent, peers, stallHead),
		Entry("many fields, metrics of an agent", agent, metrics, sendManyFields),
	)
})
