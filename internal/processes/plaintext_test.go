package processes_test

import (
	"net/http"
	"strconv"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/standin/engine"
	"github.com/auburnbend/auburnbend/standin/fault"
	"github.com/auburnbend/auburnbend/standin/service"
)

// The specs depend on each other: each continues with the fleet as the previous one
// left it.
var _ = Describe("Separate processes over plaintext", Ordered, func() {
	var f *fleet
	var v1, v2 version
	revision := 0

	BeforeAll(func() {
		f = newFleet(nil, 2, "kigali", "huye", "musanze")
		v1 = f.publish("v1", 1)
	})

	// Guards against daemons that work only when they share one process. Separate
	// processes need settings files, listeners, platform clients and the operator
	// interface.
	It("roll out a version that an operator declares", func() {
		f.apply(f.declaration("v1", 1), revision)
		revision++
		f.awaitRollout(v1)
		Expect(f.mustCtl("config", "status")).To(ContainSubstring("in force at the entry: revision 1,"))
	})

	It("answer a streamed draft and a keyed order at each entry", func() {
		for i := range f.entries {
			Eventually(func() string {
				_, a := f.draft(i, 5)
				return a.Outcome
			}).WithTimeout(settleTime).Should(Equal("completed"))
		}
		f.expectDrafts(v1)
		for i := range f.entries {
			key := "plate-" + strconv.Itoa(i)
			body, a := f.order(i, key)
			Expect(a.Outcome).To(Equal("completed"), a.Reason)
			Expect(string(a.Body)).To(Equal(string(service.ExpectedResponse("/orders", key, body))))
			// The answer of the stand-in contains the number of runs, so that of a
			// second run would differ.
			_, repeated := f.order((i+1)%len(f.entries), key)
			Expect(repeated.Outcome).To(Equal("completed"), repeated.Reason)
			Expect(string(repeated.Body)).To(Equal(string(a.Body)))
		}
	})

	// Guards against metrics that a daemon exposes but never updates.
	It("expose their metrics as text", func() {
		for _, d := range f.all() {
			text := f.metricsOf(d)
			switch d.pool {
			case "":
				Expect(text).To(MatchRegexp(`auburnbend_request_total_time_seconds_count{.*tenant="engravers"`))
				Expect(text).To(ContainSubstring("auburnbend_request_first_token_seconds_count"))
			case draftPool:
				Expect(text).To(ContainSubstring(`auburnbend_transfer_time_seconds_count{model="crest"} 1`))
				Expect(text).To(ContainSubstring(`auburnbend_transfer_bytes_total{model="crest"`))
			}
		}
	})

	// Guards against reporting success to both of two operators who change the same
	// revision.
	It("accept one of two concurrent changes of the same revision", func() {
		var sessions []*gexec.Session
		for share := 2; share <= 3; share++ {
			sessions = append(sessions, f.startCtl("config", "apply", f.declaration("v1", share), "--expect", strconv.Itoa(revision)))
		}
		var codes []int
		for _, s := range sessions {
			Eventually(s).WithTimeout(settleTime).Should(gexec.Exit())
			codes = append(codes, s.ExitCode())
		}
		Expect(codes).To(ConsistOf(0, exitConflict))
		revision++
	})

	// Guards against reporting an outcome that auburnctl cannot know while the table
	// service is down, and against an outage that affects requests without a key.
	It("report an unknown outcome while the table service is down", func() {
		f.platform.tableFaults(fault.Faults{Down: true})
		code, out := f.ctl("config", "apply", f.declaration("v1", 9), "--expect", strconv.Itoa(revision), "--operation", "during-outage")
		Expect(code).To(Equal(exitUnknown), out)
		Expect(out).To(ContainSubstring("auburnctl operation status during-outage"))
		code, out = f.ctl("operation", "status", "during-outage")
		Expect(code).To(Equal(exitUnavailable), out)
		_, a := f.order(0, "during-outage")
		Expect(a.Outcome).To(Equal("not_run"))
		f.expectDrafts(v1)

		f.platform.tableFaults(fault.Faults{})
		Expect(f.mustCtl("operation", "status", "during-outage")).To(ContainSubstring("not found"))
		Expect(f.mustCtl("operation", "status", "during-outage", "--settle")).To(ContainSubstring("abandoned"))
		// The reply is lost after the write took effect: auburnctl must read the
		// outcome back.
		f.platform.tableFaults(fault.Faults{LoseAfter: 1})
		f.apply(f.declaration("v1", 5), revision)
		revision++
		Expect(f.mustCtl("config", "get")).To(ContainSubstring("share = 5"))
	})

	// Guards against a rollout that waits for a lost instance, and against answers
	// from partially loaded weights during the rollout.
	It("complete a rollout during which an agent is killed", func() {
		v2 = f.publish("v2", 2)
		killed := f.agent("huye-crest-0")
		f.apply(f.declaration("v2", 5), revision)
		revision++
		Eventually(func() string { return f.mustCtl("rollout", "status", "--version", "v2") }).
			WithTimeout(settleTime).WithPolling(0).Should(ContainSubstring("fetching:"))
		killed.session.Kill()
		Eventually(killed.session).WithTimeout(settleTime).Should(gexec.Exit(128 + int(syscall.SIGKILL)))
		for i := range f.entries {
			body, a := f.draft(i, 20)
			Expect(a.Outcome).To(Equal("completed"), a.Reason)
			Expect(string(a.Body)).To(Or(
				Equal(string(engine.ExpectedResponse(v1.content, body))),
				Equal(string(engine.ExpectedResponse(v2.content, body))),
			))
		}
		f.awaitRollout(v2)
		f.expectDrafts(v2)
	})

	// Guards against a graceful shutdown that cuts off running requests.
	It("finish a running request before a stopped agent exits", func() {
		type result struct {
			body   []byte
			answer deployment.Answer
		}
		results := make(chan result, 1)
		go func() {
			defer GinkgoRecover()
			body, a := f.draft(2, 2000)
			results <- result{body, a}
		}()
		var busy string
		Eventually(func() string {
			for _, i := range f.instances() {
				if i.GetPool() == draftPool && i.GetRunning() > 0 {
					busy = i.GetId()
				}
			}
			return busy
		}).WithTimeout(settleTime).ShouldNot(BeEmpty())
		stopped := f.agent(busy)
		stopped.session.Terminate()
		Eventually(func() int { return stopped.events(eventlog.ProcessStopping) }).WithTimeout(settleTime).Should(Equal(1))
		Expect(results).NotTo(Receive(), "the request ended before the agent received SIGTERM")
		var r result
		Eventually(results).WithTimeout(settleTime).Should(Receive(&r))
		Expect(r.answer.Outcome).To(Equal("completed"), r.answer.Reason)
		Expect(string(r.answer.Body)).To(Equal(string(engine.ExpectedResponse(v2.content, r.body))))
		stopped.awaitStop()
	})

	It("roll back to an earlier revision by a new revision", func() {
		Expect(f.mustCtl("config", "rollback", "1", "--expect", strconv.Itoa(revision))).
			To(ContainSubstring("accepted as revision %d,", revision+1))
		revision++
		f.awaitRollout(v1)
		Eventually(func() string { return f.mustCtl("config", "status") }).WithTimeout(settleTime).
			Should(MatchRegexp(`(?m)^huye +%d +%d `, revision, revision))
		f.expectDrafts(v1)
		Expect(f.mustCtl("config", "history")).To(MatchRegexp(`(?s)\n%d .*\n%d .*\n1 `, revision, revision-1))
	})

	// Guards against a stopped entry that exits before the load balancer has taken it
	// out of service.
	It("keep serving callers at a stopped entry for the time that the load balancer needs", func() {
		stopped := f.entries[0]
		stopped.session.Terminate()
		Eventually(func() (int, error) {
			response, err := httpGet("http://" + stopped.callers + "/ready")
			if err != nil {
				return 0, err
			}
			return response.StatusCode, response.Body.Close()
		}).WithTimeout(settleTime).Should(Equal(http.StatusServiceUnavailable))
		_, a := f.draft(0, 20)
		Expect(a.Outcome).To(Equal("completed"), a.Reason)
		stopped.awaitStop()
		f.entries = f.entries[1:]
		f.expectDrafts(v1)
		Expect(f.mustCtl("config", "get")).To(ContainSubstring("version = v1"))
	})

	// Guards against processes that hang during shutdown or log it twice.
	It("stop on SIGTERM", func() {
		for _, d := range f.all() {
			if d.running() {
				d.session.Terminate()
			}
		}
		for _, d := range f.all() {
			if d.session.ExitCode() != 128+int(syscall.SIGKILL) {
				d.awaitStop()
			}
		}
	})
})
