package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// lateRequest is a request that a caller sends around the stop of an entry. All times
// count from the stop signal.
type lateRequest struct {
	id, path string
	// opensAt is when the connection is opened, and sendsAt when the request is sent.
	opensAt, sendsAt time.Duration
	limit            time.Duration
	// headPause is a pause in the middle of the head, bodyPause one in the middle of the
	// body.
	headPause, bodyPause time.Duration
}

// lateAnswer is what the caller of a lateRequest gets.
type lateAnswer struct {
	status     int
	id         string
	retryAfter string
	closes     bool
	// at is when the answer ended, since the stop signal.
	at time.Duration
	// err is set if the answer is not whole.
	err error
}

const lateBody = "late order"

// send sends the request to an entry that gets its stop signal at stopAt, and returns the
// answer.
func (r lateRequest) send(e *entryUnderTest, stopAt time.Time) lateAnswer {
	time.Sleep(time.Until(stopAt.Add(r.opensAt)))
	conn, err := net.DialTimeout("tcp", e.settings.CallerAddress, time.Second)
	Expect(err).NotTo(HaveOccurred(), r.id)
	defer conn.Close()
	Expect(conn.SetDeadline(stopAt.Add(20 * time.Second))).To(Succeed())
	time.Sleep(time.Until(stopAt.Add(r.sendsAt)))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token key\r\nContent-Length: %d\r\n\r\n",
		r.path, r.id, r.limit.Milliseconds(), len(lateBody))
	// A write fails if the entry has answered before; the answer is read all the same.
	_, _ = io.WriteString(conn, head[:20])
	time.Sleep(r.headPause)
	_, _ = io.WriteString(conn, head[20:]+lateBody[:4])
	go func() {
		time.Sleep(r.bodyPause)
		_, _ = io.WriteString(conn, lateBody[4:])
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return lateAnswer{err: err, at: time.Since(stopAt)}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return lateAnswer{
		status: resp.StatusCode, id: resp.Header.Get("X-Attempt-Id"), retryAfter: resp.Header.Get("Retry-After"), closes: resp.Close,
		at: time.Since(stopAt), err: err,
	}
}

// respondByPath is the behaviour of a backend server: it never answers a request whose
// path names "hang", and answers all others at once.
func respondByPath(s *platformtest.Server, conn net.Conn, r *platformtest.Request) {
	if strings.Contains(r.Target, "hang") {
		<-r.Closed
		return
	}
	platformtest.RespondWith(200, "done")(s, conn, r)
}

// startLateEntry starts an entry with one backend server and three routes: /order/ for
// requests that must not be repeated, /status/ for those that may, and /draft/ for streams.
func startLateEntry(stopTime time.Duration, watch func(context.Context, func(*platform.Settings))) (*entryUnderTest, *platformtest.Server) {
	e := startEntryWith(stopTime, watch)
	server := platformtest.NewServer("desk-1", respondByPath)
	DeferCleanup(server.Close)
	e.putServer(server, "ready")
	var routes []jsonObject
	for prefix, kind := range map[string]string{"/order/": "non_idempotent", "/status/": "idempotent", "/draft/": "streaming"} {
		r := newRoute(prefix)
		r["route_type"], r["timeout_ms"] = kind, 6000
		routes = append(routes, r)
	}
	e.putConfig(1, routes...)
	Eventually(func() int { return e.sendOrder("/order/start") }, 5*time.Second).Should(Equal(200))
	return e, server
}

// stopAndSend stops the entry and sends all requests. It returns the answers by request.
func stopAndSend(e *entryUnderTest, requests []lateRequest) map[string]lateAnswer {
	type result struct {
		id     string
		answer lateAnswer
	}
	results := make(chan result, len(requests))
	stopAt := time.Now().Add(100 * time.Millisecond)
	for _, r := range requests {
		go func() {
			defer GinkgoRecover()
			results <- result{r.id, r.send(e, stopAt)}
		}()
	}
	time.Sleep(time.Until(stopAt))
	e.stop()
	answers := make(map[string]lateAnswer)
	for range requests {
		var r result
		Eventually(results, 20*time.Second).Should(Receive(&r))
		answers[r.id] = r.answer
		AddReportEntry(r.id, fmt.Sprintf("%+v", r.answer))
	}
	return answers
}

// arrivals returns how many requests with the given id the server has received.
func arrivals(s *platformtest.Server, id string) int {
	n := 0
	for _, r := range s.Requests() {
		if r.Header.Get("X-Attempt-Id") == id {
			n++
		}
	}
	return n
}

var _ = Describe("Late requests in a stop", func() {
	const (
		// stopTime is the stop time of the settings: the process is killed after it.
		stopTime = 8 * time.Second
		// beforeClose is within the time in which the balancer still opens connections.
		beforeClose = 2900 * time.Millisecond
		// afterClose is when the listener has closed.
		afterClose = 3600 * time.Millisecond
		second     = time.Second
	)

	It("get an answer each, before the process must end", func() {
		// Guards against requests that are taken late, passed on and cut with no answer at
		// the end of the stop time, and against refusals of requests that can be served.
		e, server := startLateEntry(stopTime, nil)
		requests := []lateRequest{
			{id: "order-hang", path: "/order/hang", opensAt: 2500 * time.Millisecond, sendsAt: 2500 * time.Millisecond, limit: 6 * second},
			{id: "status-hang", path: "/status/hang", opensAt: 2500 * time.Millisecond, sendsAt: 2500 * time.Millisecond, limit: 6 * second},
			{id: "draft-hang", path: "/draft/hang", opensAt: 2500 * time.Millisecond, sendsAt: 2500 * time.Millisecond, limit: 6 * second},
			{id: "order-half-body", path: "/order/x", opensAt: 2500 * time.Millisecond, sendsAt: 2500 * time.Millisecond, limit: 6 * second, bodyPause: 10 * second},
			{id: "order-quick", path: "/order/x", opensAt: 2500 * time.Millisecond, sendsAt: 2500 * time.Millisecond, limit: 6 * second},
			{id: "order-slow-body", path: "/order/x", opensAt: 2500 * time.Millisecond, sendsAt: 2500 * time.Millisecond, limit: 4 * second, bodyPause: 2 * second},
			{id: "status-quick", path: "/status/x", opensAt: 2500 * time.Millisecond, sendsAt: 2500 * time.Millisecond, limit: 6 * second},
			{id: "late-order-fits", path: "/order/x", opensAt: beforeClose, sendsAt: afterClose, limit: 2 * second},
			{id: "late-order", path: "/order/hang", opensAt: beforeClose, sendsAt: afterClose, limit: 6 * second},
			{id: "late-status", path: "/status/hang", opensAt: beforeClose, sendsAt: afterClose, limit: 6 * second},
			{id: "late-status-fits", path: "/status/x", opensAt: beforeClose, sendsAt: afterClose, limit: second},
			{id: "late-draft", path: "/draft/hang", opensAt: beforeClose, sendsAt: afterClose, limit: 6 * second},
			{id: "late-half-body", path: "/order/hang", opensAt: beforeClose, sendsAt: afterClose, limit: 6 * second, bodyPause: 10 * second},
		}
		answers := stopAndSend(e, requests)
		Eventually(e.done, 2*time.Second).Should(Receive(BeNil()))
		for _, r := range requests {
			a := answers[r.id]
			Expect(a.err).NotTo(HaveOccurred(), "%s: %+v", r.id, a)
			Expect(a.at).To(BeNumerically("<", stopTime), r.id)
			Expect(a.closes).To(BeTrue(), r.id)
		}
		for _, id := range []string{"order-hang", "status-hang", "draft-hang"} {
			Expect(answers[id].status).To(Equal(http.StatusGatewayTimeout), id)
			Expect(answers[id].id).To(Equal(id))
		}
		for _, id := range []string{"order-quick", "order-slow-body", "status-quick", "late-order-fits"} {
			Expect(answers[id].status).To(Equal(http.StatusOK), id)
		}
		for _, id := range []string{"order-half-body", "late-order", "late-status", "late-status-fits", "late-draft", "late-half-body"} {
			Expect(answers[id].status).To(Equal(http.StatusServiceUnavailable), id)
			Expect(answers[id].id).To(Equal(id))
			Expect(answers[id].retryAfter).NotTo(BeEmpty(), id)
			Expect(arrivals(server, id)).To(BeZero(), id)
		}
		for _, id := range []string{"late-order", "late-status", "late-status-fits", "late-draft", "late-half-body"} {
			Expect(answers[id].at).To(BeNumerically("<", afterClose+second/2), "%s is refused at once", id)
		}
	})

	It("are answered or their connections closed before, when a connection was silent for long", func() {
		// Guards against a request that is read and dropped in silence, because its
		// connection was the only one left and the process waited for it.
		e, server := startLateEntry(stopTime, nil)
		answers := stopAndSend(e, []lateRequest{
			{id: "silent", path: "/order/x", opensAt: beforeClose, sendsAt: 6 * second, limit: second},
			{id: "head-in-parts", path: "/order/x", opensAt: beforeClose, sendsAt: beforeClose + 900*time.Millisecond, headPause: 800 * time.Millisecond, limit: second},
		})
		Expect(e.done).To(Receive(BeNil()), "the process has ended before the silent connection is used")
		Expect(answers["head-in-parts"].err).NotTo(HaveOccurred())
		Expect(answers["head-in-parts"].status).To(Equal(http.StatusOK))
		Expect(arrivals(server, "silent")).To(BeZero())
		Expect(e.logs.String()).NotTo(ContainSubstring("event=1007"))
	})

	It("are answered before a stop time that is shorter than the balancer's reaction", func() {
		// Guards against requests that are cut off because the process is killed while it
		// still waits for the balancer.
		const short = 2 * time.Second
		e, _ := startLateEntry(short, nil)
		answers := stopAndSend(e, []lateRequest{
			{id: "order-hang", path: "/order/hang", opensAt: -50 * time.Millisecond, sendsAt: -50 * time.Millisecond, limit: 6 * second},
			{id: "order-quick", path: "/order/x", opensAt: second, sendsAt: second, limit: 6 * second},
		})
		Expect(answers["order-hang"].err).NotTo(HaveOccurred())
		Expect(answers["order-hang"].status).To(Equal(http.StatusGatewayTimeout))
		Expect(answers["order-hang"].at).To(BeNumerically("<", short))
		Expect(answers["order-quick"].status).To(Equal(http.StatusOK))
		Eventually(e.done, short-answers["order-hang"].at).Should(Receive(BeNil()))
	})

	It("follow a stop time that the settings change meanwhile", func() {
		// Guards against requests that are cut off because the stop time became shorter.
		changed := make(chan func(*platform.Settings), 1)
		e, server := startLateEntry(stopTime, func(_ context.Context, apply func(*platform.Settings)) { changed <- apply })
		apply := <-changed
		const shorter = 5 * time.Second
		time.AfterFunc(3500*time.Millisecond, func() {
			s := *e.settings
			s.Bounds.StopTime = shorter
			apply(&s)
		})
		answers := stopAndSend(e, []lateRequest{
			{id: "order-hang", path: "/order/hang", opensAt: second, sendsAt: second, limit: 6 * second},
			{id: "order-half-body", path: "/order/x", opensAt: second, sendsAt: second, limit: 6 * second, bodyPause: 10 * second},
		})
		Eventually(e.done, 2*time.Second).Should(Receive(BeNil()))
		for id, status := range map[string]int{"order-hang": http.StatusGatewayTimeout, "order-half-body": http.StatusServiceUnavailable} {
			a := answers[id]
			Expect(a.err).NotTo(HaveOccurred(), "%s: %+v", id, a)
			Expect(a.status).To(Equal(status), id)
			Expect(a.at).To(BeNumerically("<", shorter), id)
		}
		Expect(arrivals(server, "order-half-body")).To(BeZero())
	})
})
